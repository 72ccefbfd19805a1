package entry

import (
	"context"
	"sync"
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
	// Forwarded is set on the way from a relay to those that lead.
	Forwarded bool `msgpack:"f,omitempty"`
}

const (
	// countBytes is what a count takes beside its account's name, and workBytes what
	// arrives at a service beside that's name.
	countBytes = 18
	workBytes  = 22
	// leastArrivalsLife is the least time for which what an instance said of its work
	// counts: some words may be lost.
	leastArrivalsLife = time.Second
	// countsEvery is the time between two messages of one of many instances with its counts,
	// which go to its relay, and forwardEvery that in which a relay passes them on.
	countsEvery  = time.Second
	forwardEvery = 500 * time.Millisecond
	// maxForwarded bounds what a relay keeps to be passed on.
	maxForwarded = 512
	// countsBytes is what a message takes beside its counts and its instance's name.
	countsBytes = 40
)

// tellCounts sends those that may hold duties what this instance has counted, through its
// relay where it has one. It also shows them that the instance lives.
func (p *parts) tellCounts(ctx context.Context) {
	for ctx.Err() == nil {
		plan := p.plan.Load()
		leaders := p.leaders(plan)

		for _, t := range p.makeCounts(p.clock.Now()) {
			if !plan.FullMesh && !plan.Relay {
				p.sendAll(addressesOf(plan.Relays[:min(1, len(plan.Relays))]), datagram{Counts: &t})

				continue
			}

			t.Forwarded = true
			p.sendAll(leaders, datagram{Counts: &t})
		}

		for _, t := range p.rollouts.counts() {
			p.sendAll(leaders, datagram{Trials: &t})
		}

		clock.Sleep(ctx, p.clock, p.countsPace())
	}
}

// countsPace is the time between two messages of an instance with its counts.
func (p *parts) countsPace() time.Duration {
	if p.few() {
		return gossip.Interval(p.count() - 1)
	}

	return countsEvery
}

// forwardCounts has a relay forward the counts of its subscribers, several in a datagram, so that
// leaders receive messages of each relay and not of each instance.
func (p *parts) forwardCounts(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, forwardEvery)

		leaders := p.leaders(p.plan.Load())
		for _, part := range pack(p.forwarding.take(), usageCounts.size) {
			p.sendAll(leaders, datagram{Forwarded: part})
		}
	}
}

func (t usageCounts) size() int {
	bytes := countsBytes + len(t.Instance)
	for _, c := range t.Usage {
		bytes += counted{count: c}.size()
	}

	for _, w := range t.Work {
		bytes += counted{work: &w}.size()
	}

	return bytes
}

// countsQueue holds what a relay has to pass on. The zero value is empty.
type countsQueue struct {
	mu     sync.Mutex
	queued []usageCounts
}

func (q *countsQueue) add(t usageCounts) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.queued) < maxForwarded {
		q.queued = append(q.queued, t)
	}
}

func (q *countsQueue) take() []usageCounts {
	q.mu.Lock()
	defer q.mu.Unlock()

	queued := q.queued
	q.queued = nil

	return queued
}

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

// receiveCounts takes another instance's counts in, and queues them for those that lead.
func (p *parts) receiveCounts(now time.Time, t *usageCounts) {
	if !p.few() && !t.Forwarded {
		forwarded := *t
		forwarded.Forwarded = true
		p.forwarding.add(forwarded)
	}

	if !p.few() && !p.leads() {
		return
	}

	if p.few() {
		p.members.Refresh(now, t.Instance)
	} else {
		p.members.Add(now, topology.Member{ID: t.Instance})
	}

	p.duties.count(t)
	p.arrivals.Record(now, arrivals.Report{Instance: t.Instance, Incarnation: t.Incarnation, SentAt: t.At, Work: t.Work})
}

// arrivingAtAll returns what arrives at all instances, as far as it is known here: at those
// that lead.
func (p *parts) arrivingAtAll(now time.Time) []scheduling.Work {
	life := max(lostHeartbeats*p.countsPace(), leastArrivalsLife)

	return p.arrivals.Total(now, life, p.scheduler.Work(now))
}
