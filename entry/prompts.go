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

// promptMessage is what an instance knows of prompts at model engines, for others.
type promptMessage struct {
	Instance fleet.InstanceID `msgpack:"i"`
	// FromRelay is set where a relay tells those that turned to it, and Subscribes where one
	// of those tells its relay.
	FromRelay      bool                    `msgpack:"d,omitempty"`
	FromSubscriber bool                    `msgpack:"u,omitempty"`
	Update         scheduling.ServerUpdate `msgpack:"n"`
}

const (
	// minSendInterval is the least time between two messages of one instance to another: a
	// first event is expected in several hundred milliseconds.
	minSendInterval = 20 * time.Millisecond
	// sendIntervalPerPeer is the time between two messages for each that is told: a relay of 410
	// instances tells each of its own several times in the life of a backlog.
	sendIntervalPerPeer = 4 * time.Millisecond
)

// publishPrompts tells an audience, soon after each change, what waits at model engines and
// what those have read.
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
				Instance: p.self(), FromRelay: to == scheduling.Downstream, FromSubscriber: fromSubscriber, Update: part,
			}})
		}

		// As heartbeats do, news slows down with the number of those it is told to.
		clock.Sleep(ctx, p.clock, max(time.Duration(len(audience))*sendIntervalPerPeer, minSendInterval))
	}
}

// audience returns whom news is for. An instance that is no relay counts at one relay only.
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

// receivePrompts takes another instance's news in.
func (p *components) receivePrompts(now time.Time, m *promptMessage) {
	role := scheduling.Peer
	plan := p.plan.Load()
	uplink := !plan.Relay && len(plan.Relays) > 0 && plan.Relays[0].ID == m.Instance

	switch {
	case m.FromRelay:
		if !uplink {
			// This instance turned to another relay since; what both say would count twice.
			return
		}

		role = scheduling.Relay
	case m.FromSubscriber:
		if uplink {
			// Two that turn to each other would each count what the other has counted.
			return
		}

		role = scheduling.Subscriber
	}

	p.scheduler.ApplyUpdate(now, m.Instance, role, m.Update)
}

// The bytes that each kind of news takes, a holding beside its parts.
const (
	backlogBytes        = 11
	loadBytes           = 12
	cachedSegmentsBytes = 7
	keyBytes            = 5
	limitBytes          = 20
	// maxSegments bounds the parts of a holding: the first ones are those that others share.
	maxSegments = 100
)

// splitUpdate divides news into what one datagram holds.
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

	for _, l := range update.Loads {
		s.reserve(loadBytes)
		s.part.Loads = append(s.part.Loads, l)
	}

	for _, h := range update.Holdings {
		h.Parts = h.Parts[:min(len(h.Parts), maxSegments)]
		s.reserve(cachedSegmentsBytes + keyBytes*len(h.Parts))
		s.part.Holdings = append(s.part.Holdings, h)
	}

	return s.flush()
}

// updateSplitter fills one part after the other. The zero value is empty.
type updateSplitter struct {
	parts []scheduling.ServerUpdate
	part  scheduling.ServerUpdate
	bytes int
}

// reserve begins the next part if this one has no reserve for so many bytes.
func (s *updateSplitter) reserve(bytes int) {
	if s.bytes+bytes > maxPackedBytes {
		s.flush()
	}

	s.bytes += bytes
}

// flush ends the part that is being filled, and returns all.
func (s *updateSplitter) flush() []scheduling.ServerUpdate {
	if !s.part.Empty() {
		s.parts = append(s.parts, s.part)
	}

	s.part, s.bytes = scheduling.ServerUpdate{}, 0

	return s.parts
}
