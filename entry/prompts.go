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

// promptNews is what an instance knows of prompts at model engines, for others.
type promptNews struct {
	Instance fleet.InstanceID `msgpack:"i"`
	// Down is set where a relay tells those that turned to it, and Subscribes where one
	// of those tells its relay.
	Down       bool                    `msgpack:"d,omitempty"`
	Subscribes bool                    `msgpack:"u,omitempty"`
	News       scheduling.ServerUpdate `msgpack:"n"`
}

const (
	// newsSoonest is the least time between two messages of one instance to another: a
	// first event is expected in several hundred milliseconds.
	newsSoonest = 20 * time.Millisecond
	// newsPerPeer is the time between two messages for each that is told: a relay of 410
	// instances tells each of its own several times in the life of a backlog.
	newsPerPeer = 4 * time.Millisecond
)

// tellPrompts tells an audience, soon after each change, what waits at model engines and
// what those have read.
func (p *parts) tellPrompts(ctx context.Context, to scheduling.Audience) {
	for ctx.Err() == nil {
		select {
		case <-p.scheduler.UpdateReady(to):
		case <-p.clock.After(gossip.Interval(0)):
		case <-ctx.Done():
			return
		}

		news := p.scheduler.TakeUpdate(p.clock.Now(), to)
		audience := p.audience(to)

		if news.Empty() || len(audience) == 0 {
			continue
		}

		subscribes := !p.plan.Load().Relay

		for _, part := range splitNews(news) {
			p.sendAll(audience, datagram{Prompts: &promptNews{
				Instance: p.self(), Down: to == scheduling.Downstream, Subscribes: subscribes, News: part,
			}})
		}

		// As heartbeats do, news slows down with the number of those it is told to.
		clock.Sleep(ctx, p.clock, max(time.Duration(len(audience))*newsPerPeer, newsSoonest))
	}
}

// audience returns whom news is for. An instance that is no relay counts at one relay only.
func (p *parts) audience(to scheduling.Audience) map[fleet.InstanceID]netip.AddrPort {
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
func (p *parts) receivePrompts(now time.Time, n *promptNews) {
	as := scheduling.Peer
	plan := p.plan.Load()
	uplink := !plan.Relay && len(plan.Relays) > 0 && plan.Relays[0].ID == n.Instance

	switch {
	case n.Down:
		if !uplink {
			// This instance turned to another relay since; what both say would count twice.
			return
		}

		as = scheduling.Relay
	case n.Subscribes:
		if uplink {
			// Two that turn to each other would each count what the other has counted.
			return
		}

		as = scheduling.Subscriber
	}

	p.scheduler.ApplyUpdate(now, n.Instance, as, n.News)
}

// The bytes that each kind of news takes, a holding beside its parts.
const (
	backlogBytes = 11
	loadBytes    = 12
	holdingBytes = 7
	keyBytes     = 5
	limitBytes   = 20
	// maxParts bounds the parts of a holding: the first ones are those that others share.
	maxParts = 100
)

// splitNews divides news into what one datagram holds.
func splitNews(news scheduling.ServerUpdate) []scheduling.ServerUpdate {
	var s newsSplitter

	for _, b := range news.Backlogs {
		s.room(backlogBytes)
		s.part.Backlogs = append(s.part.Backlogs, b)
	}

	for _, key := range news.Ended {
		s.room(keyBytes)
		s.part.Ended = append(s.part.Ended, key)
	}

	for _, l := range news.Limits {
		s.room(limitBytes)
		s.part.Limits = append(s.part.Limits, l)
	}

	for _, l := range news.Loads {
		s.room(loadBytes)
		s.part.Loads = append(s.part.Loads, l)
	}

	for _, h := range news.Holdings {
		h.Parts = h.Parts[:min(len(h.Parts), maxParts)]
		s.room(holdingBytes + keyBytes*len(h.Parts))
		s.part.Holdings = append(s.part.Holdings, h)
	}

	return s.end()
}

// newsSplitter fills one part after the other. The zero value is empty.
type newsSplitter struct {
	parts []scheduling.ServerUpdate
	part  scheduling.ServerUpdate
	bytes int
}

// room begins the next part if this one has no room for so many bytes.
func (s *newsSplitter) room(bytes int) {
	if s.bytes+bytes > packBytes {
		s.end()
	}

	s.bytes += bytes
}

// end ends the part that is being filled, and returns all.
func (s *newsSplitter) end() []scheduling.ServerUpdate {
	if !s.part.Empty() {
		s.parts = append(s.parts, s.part)
	}

	s.part, s.bytes = scheduling.ServerUpdate{}, 0

	return s.parts
}
