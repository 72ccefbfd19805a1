package entry

import (
	"context"
	"net/netip"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/scheduling"
)

// promptMessage is what an instance knows of the prompts at model engines.
type promptMessage struct {
	Instance fleet.InstanceID `msgpack:"i"`
	// FromRelay is set in messages of a relay to its subscribers, and FromSubscriber in messages
	// of a subscriber to its relay.
	FromRelay      bool                    `msgpack:"d,omitempty"`
	FromSubscriber bool                    `msgpack:"u,omitempty"`
	Update         scheduling.ServerUpdate `msgpack:"n"`
	// Contentions belong to Update.
	Contentions []scheduling.Contention `msgpack:"c,omitempty"`
}

const (
	// minSendInterval is the minimum time between two messages to the same instance: the first
	// event of a stream is expected within several hundred milliseconds.
	minSendInterval = 20 * time.Millisecond
	// sendIntervalPerPeer is the time between two messages per receiver: a relay in a deployment
	// of 410 instances sends to each of its subscribers several times in the life of a backlog.
	sendIntervalPerPeer = 4 * time.Millisecond
)

// publishPrompts sends an audience, soon after each change, the backlogs of model engines and the
// prompt segments that they have cached.
func (p *components) publishPrompts(ctx context.Context, to scheduling.Audience) {
	for ctx.Err() == nil {
		select {
		case <-p.scheduler.UpdateReady(to):
		case <-p.clock.After(gossip.Interval(0)):
		case <-ctx.Done():
			return
		}

		update := p.scheduler.TakeUpdate(p.clock.Now(), to)
		audience := p.audience(to)

		if update.Empty() || len(audience) == 0 {
			continue
		}

		fromSubscriber := !p.plan.Load().Relay

		for _, part := range splitUpdate(update) {
			p.sendAll(audience, datagram{Prompts: &promptMessage{
				Instance: p.self(), FromRelay: to == scheduling.Downstream, FromSubscriber: fromSubscriber, Update: part, Contentions: part.Contentions,
			}})
		}

		// As with heartbeats, the interval grows with the number of receivers.
		clock.Sleep(ctx, p.clock, max(time.Duration(len(audience))*sendIntervalPerPeer, minSendInterval))
	}
}

// audience returns the receivers of an update. An instance that is no relay sends to its own relay
// only, so that it is counted once.
func (p *components) audience(to scheduling.Audience) map[fleet.InstanceID]netip.AddrPort {
	plan := p.plan.Load()

	switch {
	case to == scheduling.Downstream:
		return addressesOf(plan.Subscribers)
	case plan.Relay:
		return addressesOf(plan.Relays)
	default:
		return addressesOf(plan.Relays[:min(1, len(plan.Relays))])
	}
}

// receivePrompts applies another instance's update.
func (p *components) receivePrompts(now time.Time, m *promptMessage) {
	role := scheduling.Peer
	plan := p.plan.Load()
	uplink := !plan.Relay && len(plan.Relays) > 0 && plan.Relays[0].ID == m.Instance

	switch {
	case m.FromRelay:
		if !uplink {
			// This instance has changed its relay since; updates of both would be counted twice.
			return
		}

		role = scheduling.Relay
	case m.FromSubscriber:
		if uplink {
			// Two instances that subscribe to each other would each count what the other has
			// counted.
			return
		}

		role = scheduling.Subscriber
	}

	update := m.Update
	update.Contentions = m.Contentions
	p.scheduler.ApplyUpdate(now, m.Instance, role, update)
}

// Encoded sizes of the entries of an update; that of cached segments is without the segments.
const (
	backlogBytes        = 11
	loadBytes           = 12
	cachedSegmentsBytes = 7
	keyBytes            = 5
	limitBytes          = 20
	brittleBytes        = 16
	// contentionBytes is without the name of the service.
	contentionBytes = 10
	// maxSegments bounds the segments of an entry: the first segments are those that prompts
	// share.
	maxSegments = 100
)

// splitUpdate splits an update into parts that each fit into a datagram.
func splitUpdate(update scheduling.ServerUpdate) []scheduling.ServerUpdate {
	var s updateSplitter

	for _, b := range update.Backlogs {
		s.reserve(backlogBytes)
		s.part.Backlogs = append(s.part.Backlogs, b)
	}

	for _, key := range update.Ended {
		s.reserve(keyBytes)
		s.part.Ended = append(s.part.Ended, key)
	}

	for _, l := range update.Limits {
		s.reserve(limitBytes)
		s.part.Limits = append(s.part.Limits, l)
	}

	for _, b := range update.Brittle {
		s.reserve(brittleBytes)
		s.part.Brittle = append(s.part.Brittle, b)
	}

	for _, l := range update.Loads {
		s.reserve(loadBytes)
		s.part.Loads = append(s.part.Loads, l)
	}

	for _, c := range update.Holdings {
		c.Parts = c.Parts[:min(len(c.Parts), maxSegments)]
		s.reserve(cachedSegmentsBytes + keyBytes*len(c.Parts))
		s.part.Holdings = append(s.part.Holdings, c)
	}

	for _, c := range update.Contentions {
		s.reserve(contentionBytes + len(c.Service))
		s.part.Contentions = append(s.part.Contentions, c)
	}

	return s.flush()
}

// updateSplitter fills one part after the other. The zero value is empty.
type updateSplitter struct {
	parts []scheduling.ServerUpdate
	part  scheduling.ServerUpdate
	bytes int
}

// reserve begins a new part if the current one has no room for so many bytes.
func (s *updateSplitter) reserve(bytes int) {
	if s.bytes+bytes > maxPackedBytes {
		s.flush()
	}

	s.bytes += bytes
}

// flush completes the current part and returns all parts.
func (s *updateSplitter) flush() []scheduling.ServerUpdate {
	if !s.part.Empty() {
		s.parts = append(s.parts, s.part)
	}

	s.part, s.bytes = scheduling.ServerUpdate{}, 0

	return s.parts
}
