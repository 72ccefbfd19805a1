package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/usage"
)

// usageCounts are an instance's counts of usage in the newest windows, so that they outlive it.
type usageCounts struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Usage       []usage.Count     `msgpack:"u"`
}

// countBytes is what a count takes beside its account's name.
const countBytes = 18

// tellCounts tells those that may hold duties what this instance has counted, at the pace
// of heartbeats to all instances, so that none hears more of them the more there are. It also
// shows them that the instance lives.
func (p *parts) tellCounts(ctx context.Context) {
	for ctx.Err() == nil {
		leaders := p.leaders(p.plan.Load())

		for _, t := range p.makeCounts() {
			p.sendAll(leaders, datagram{Counts: &t})
		}

		clock.Sleep(ctx, p.clock, gossip.Every(p.members.Count()-1))
	}
}

// makeCounts makes the messages with this instance's counts, one at least.
func (p *parts) makeCounts() []usageCounts {
	parts := pack(p.counter.Recent(), func(c usage.Count) int { return countBytes + len(c.Account) })
	if len(parts) == 0 {
		parts = [][]usage.Count{nil}
	}

	messages := make([]usageCounts, 0, len(parts))
	for _, counts := range parts {
		messages = append(messages, usageCounts{Instance: p.self(), Incarnation: p.duties.incarnation, Usage: counts})
	}

	return messages
}

// receiveCounts takes another instance's counts in.
func (p *parts) receiveCounts(now time.Time, t *usageCounts) {
	p.members.Seen(now, t.Instance)
	p.duties.count(t)
}
