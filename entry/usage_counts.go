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
	// minArrivalsTTL is the least time for which what an instance said of its work
	// counts: some words may be lost.
	minArrivalsTTL = time.Second
	// relayedCountsInterval is the time between two messages of one of many instances with its counts,
	// which go to its relay, and forwardEvery that in which a relay passes them on.
	relayedCountsInterval = time.Second
	forwardInterval       = 500 * time.Millisecond
	// maxQueuedCounts bounds what a relay keeps to be passed on.
	maxQueuedCounts = 512
	// countsBytes is what a message takes beside its counts and its instance's name.
	countsBytes = 40
)

// sendCounts sends those that may hold duties what this instance has counted, through its
// relay where it has one. It also shows them that the instance lives.
func (p *components) sendCounts(ctx context.Context) {
	for ctx.Err() == nil {
		plan := p.plan.Load()
		leaders := p.leaderAddresses(plan)

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

		clock.Sleep(ctx, p.clock, p.countsInterval())
	}
}

// countsInterval is the time between two messages of an instance with its counts.
func (p *components) countsInterval() time.Duration {
	if p.fullMesh() {
		return gossip.Interval(p.instanceCount() - 1)
	}

	return relayedCountsInterval
}

// forwardCounts has a relay forward the counts of its subscribers, several in a datagram, so that
// leaders receive messages of each relay and not of each instance.
func (p *components) forwardCounts(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, forwardInterval)

		leaders := p.leaderAddresses(p.plan.Load())
		for _, part := range pack(p.forwardQueue.take(), usageCounts.size) {
			p.sendAll(leaders, datagram{Forwarded: part})
		}
	}
}

func (t usageCounts) size() int {
	bytes := countsBytes + len(t.Instance)
	for _, c := range t.Usage {
		bytes += countItem{count: c}.size()
	}

	for _, w := range t.Work {
		bytes += countItem{work: &w}.size()
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

	if len(q.queued) < maxQueuedCounts {
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

// countItem is a count of usage, or what arrives at a service.
type countItem struct {
	count usage.Count
	work  *scheduling.Work
}

func (c countItem) size() int {
	if c.work != nil {
		return workBytes + len(c.work.Service)
	}

	return countBytes + len(c.count.Account)
}

// makeCounts makes the messages with this instance's counts, one at least.
func (p *components) makeCounts(now time.Time) []usageCounts {
	var all []countItem

	for _, w := range p.scheduler.Work(now) {
		all = append(all, countItem{work: &w})
	}

	for _, c := range p.counter.Recent() {
		all = append(all, countItem{count: c})
	}

	parts := pack(all, countItem.size)
	if len(parts) == 0 {
		parts = [][]countItem{nil}
	}

	messages := make([]usageCounts, 0, len(parts))

	for _, part := range parts {
		m := usageCounts{Instance: p.self(), Incarnation: p.duties.incarnation, At: now.UnixNano()}

		for _, item := range part {
			if item.work != nil {
				m.Work = append(m.Work, *item.work)
			} else {
				m.Usage = append(m.Usage, item.count)
			}
		}

		messages = append(messages, m)
	}

	return messages
}

// receiveCounts takes another instance's counts in, and queues them for those that lead.
func (p *components) receiveCounts(now time.Time, t *usageCounts) {
	if !p.fullMesh() && !t.Forwarded {
		forwarded := *t
		forwarded.Forwarded = true
		p.forwardQueue.add(forwarded)
	}

	if !p.fullMesh() && !p.isLeader() {
		return
	}

	if p.fullMesh() {
		p.members.Refresh(now, t.Instance)
	} else {
		p.members.Add(now, topology.Member{ID: t.Instance})
	}

	p.duties.addCounts(t)
	p.arrivals.Record(now, arrivals.Report{Instance: t.Instance, Incarnation: t.Incarnation, SentAt: t.At, Work: t.Work})
}

// totalArrivals returns what arrives at all instances, as far as it is known here: at those
// that lead.
func (p *components) totalArrivals(now time.Time) []scheduling.Work {
	ttl := max(maxLostHeartbeats*p.countsInterval(), minArrivalsTTL)

	return p.arrivals.Total(now, ttl, p.scheduler.Work(now))
}
