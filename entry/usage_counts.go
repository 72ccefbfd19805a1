package entry

import (
	"context"
	"time"

	"monsoonlever/arrivals"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/scheduling"
	"monsoonlever/topology"
	"monsoonlever/usage"
)

// usageCounts are an instance's counts of usage in the newest windows, so that they outlive
// it, and what arrives at it, for those that order backend servers.
type usageCounts struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Usage       []usage.Count     `msgpack:"u"`
	// At is the sender's clock. Work is what arrives at this instance alone.
	At   int64             `msgpack:"t,omitempty"`
	Work []scheduling.Work `msgpack:"w,omitempty"`
}

const (
	// countBytes is what a count takes beside its account's name, and workBytes what
	// arrives at a service beside that's name.
	countBytes = 18
	workBytes  = 22
	// leastArrivalsLife is the least time for which what an instance said of its work
	// counts: some words may be lost.
	leastArrivalsLife = time.Second
)

// tellCounts tells those that may hold duties what this instance has counted, at the pace
// of heartbeats to all instances, so that none hears more of them the more there are. It also
// shows them that the instance lives.
func (p *parts) tellCounts(ctx context.Context) {
	for ctx.Err() == nil {
		leaders := p.leaders(p.plan.Load())

		for _, t := range p.makeCounts(p.clock.Now()) {
			p.sendAll(leaders, datagram{Counts: &t})
		}

		for _, t := range p.rollouts.counts() {
			p.sendAll(leaders, datagram{Trials: &t})
		}

		clock.Sleep(ctx, p.clock, p.countsPace())
	}
}

// countsPace is the time between two messages of an instance with its counts.
func (p *parts) countsPace() time.Duration { return gossip.Every(p.count() - 1) }

// counted is a count of usage, or what arrives at a service.
type counted struct {
	count usage.Count
	work  *scheduling.Work
}

func (c counted) size() int {
	if c.work != nil {
		return workBytes + len(c.work.Service)
	}

	return countBytes + len(c.count.Account)
}

// makeCounts makes the messages with this instance's counts, one at least.
func (p *parts) makeCounts(now time.Time) []usageCounts {
	var all []counted

	for _, w := range p.scheduler.Work(now) {
		all = append(all, counted{work: &w})
	}

	for _, c := range p.counter.Recent() {
		all = append(all, counted{count: c})
	}

	parts := pack(all, counted.size)
	if len(parts) == 0 {
		parts = [][]counted{nil}
	}

	messages := make([]usageCounts, 0, len(parts))

	for _, part := range parts {
		m := usageCounts{Instance: p.self(), Incarnation: p.duties.incarnation, At: now.UnixNano()}

		for _, one := range part {
			if one.work != nil {
				m.Work = append(m.Work, *one.work)
			} else {
				m.Usage = append(m.Usage, one.count)
			}
		}

		messages = append(messages, m)
	}

	return messages
}

// receiveCounts takes another instance's counts in.
func (p *parts) receiveCounts(now time.Time, t *usageCounts) {
	if p.few() {
		p.members.Seen(now, t.Instance)
	} else {
		p.members.Met(now, topology.Member{ID: t.Instance})
	}

	p.duties.count(t)
	p.arrivals.Record(now, arrivals.Report{Instance: t.Instance, Incarnation: t.Incarnation, At: t.At, Work: t.Work})
}

// arrivingAtAll returns what arrives at all instances, as far as it is known here: at those
// that lead.
func (p *parts) arrivingAtAll(now time.Time) []scheduling.Work {
	life := max(lostHeartbeats*p.countsPace(), leastArrivalsLife)

	return p.arrivals.Total(now, life, p.scheduler.Work(now))
}
