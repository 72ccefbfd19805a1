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

// usageCounts are an instance's usage counts for the newest windows, which must not be lost with
// it, and the work that arrives at it, from which orders for backend servers are planned.
type usageCounts struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Usage       []usage.Count     `msgpack:"u"`
	// At is the sender's clock. Work is the work that arrives at the counted instance alone.
	At   int64             `msgpack:"t,omitempty"`
	Work []scheduling.Work `msgpack:"w,omitempty"`
	// ReadLoads belong to Work, for services whose servers tell their pace.
	ReadLoads []scheduling.ReadLoad `msgpack:"l,omitempty"`
	// Forwarded is set in messages to leaders, whether the counted instance or its relay sends
	// them.
	Forwarded bool `msgpack:"f,omitempty"`
}

const (
	// countBytes is the encoded size of a count without its account's name, and workBytes that of
	// work, or of a read load, without its service's name.
	countBytes = 18
	workBytes  = 22
	// minArrivalsTTL is the minimum time for which the work that an instance reports is counted:
	// some messages may be lost.
	minArrivalsTTL = time.Second
	// relayedCountsInterval is the time between two messages of an instance with its counts
	// outside of a full mesh, and forwardInterval the time after which a relay forwards those of
	// its subscribers.
	relayedCountsInterval = time.Second
	forwardInterval       = 500 * time.Millisecond
	// maxQueuedCounts bounds the messages that a relay queues for forwarding.
	maxQueuedCounts = 512
	// countsBytes is the encoded size of a message without its counts and its instance's name.
	countsBytes = 40
)

// sendCounts sends this instance's counts to the leaders, which may hold duties, through its relay
// if it has one. The messages also show that the instance is alive.
func (p *components) sendCounts(ctx context.Context) {
	for ctx.Err() == nil {
		plan := p.plan.Load()
		leaders := p.leaderAddresses(plan)

		for _, counts := range p.makeCounts(p.clock.Now()) {
			if !plan.FullMesh && !plan.Relay {
				p.sendAll(addressesOf(plan.Relays[:min(1, len(plan.Relays))]), datagram{Counts: &counts})

				continue
			}

			counts.Forwarded = true
			p.sendAll(leaders, datagram{Counts: &counts})
		}

		for _, trials := range p.rollouts.counts() {
			p.sendAll(leaders, datagram{Trials: &trials})
		}

		clock.Sleep(ctx, p.clock, p.countsInterval())
	}
}

// countsInterval returns the time between two messages of this instance with its counts.
func (p *components) countsInterval() time.Duration {
	if p.fullMesh() {
		return gossip.Interval(p.instanceCount() - 1)
	}

	return relayedCountsInterval
}

// forwardCounts forwards the counts of a relay's subscribers, several in a datagram, so that
// leaders receive messages of each relay and not of each instance.
func (p *components) forwardCounts(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, forwardInterval)

		leaders := p.leaderAddresses(p.plan.Load())
		for _, batch := range pack(p.forwardQueue.take(), usageCounts.size) {
			p.sendAll(leaders, datagram{Forwarded: batch})
		}
	}
}

func (u usageCounts) size() int {
	bytes := countsBytes + len(u.Instance)
	for _, c := range u.Usage {
		bytes += countItem{count: c}.size()
	}

	for _, w := range scheduling.WithReadLoads(u.Work, u.ReadLoads) {
		bytes += countItem{work: &w}.size()
	}

	return bytes
}

// countsQueue holds the messages that a relay has to forward. The zero value is empty.
type countsQueue struct {
	mu     sync.Mutex
	queued []usageCounts
}

func (q *countsQueue) add(counts usageCounts) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.queued) < maxQueuedCounts {
		q.queued = append(q.queued, counts)
	}
}

func (q *countsQueue) take() []usageCounts {
	q.mu.Lock()
	defer q.mu.Unlock()

	queued := q.queued
	q.queued = nil

	return queued
}

// countItem is a usage count, or the work that arrives at a service.
type countItem struct {
	count usage.Count
	work  *scheduling.Work
}

func (c countItem) size() int {
	if c.work != nil {
		size := workBytes + len(c.work.Service)
		if _, known := c.work.ReadLoad(); known {
			size *= 2
		}

		return size
	}

	return countBytes + len(c.count.Account)
}

// makeCounts returns the messages with this instance's counts, at least one.
func (p *components) makeCounts(now time.Time) []usageCounts {
	var items []countItem

	for _, w := range p.scheduler.Work(now) {
		items = append(items, countItem{work: &w})
	}

	for _, c := range p.counter.Recent() {
		items = append(items, countItem{count: c})
	}

	batches := pack(items, countItem.size)
	if len(batches) == 0 {
		batches = [][]countItem{nil}
	}

	messages := make([]usageCounts, 0, len(batches))

	for _, batch := range batches {
		m := usageCounts{Instance: p.self(), Incarnation: p.duties.incarnation, At: now.UnixNano()}

		for _, item := range batch {
			if item.work != nil {
				m.Work = append(m.Work, *item.work)
			} else {
				m.Usage = append(m.Usage, item.count)
			}
		}

		m.ReadLoads = scheduling.ReadLoads(m.Work)
		messages = append(messages, m)
	}

	return messages
}

// receiveCounts records another instance's counts and, at a relay, queues them for the leaders.
func (p *components) receiveCounts(now time.Time, counts *usageCounts) {
	if !p.fullMesh() && !counts.Forwarded {
		forwarded := *counts
		forwarded.Forwarded = true
		p.forwardQueue.add(forwarded)
	}

	if !p.fullMesh() && !p.isLeader() {
		return
	}

	if p.fullMesh() {
		p.members.Refresh(now, counts.Instance)
	} else {
		p.members.Add(now, topology.Member{ID: counts.Instance})
	}

	p.duties.addCounts(counts)
	p.arrivals.Record(now, arrivals.Report{
		Instance: counts.Instance, Incarnation: counts.Incarnation, SentAt: counts.At,
		Work: scheduling.WithReadLoads(counts.Work, counts.ReadLoads),
	})
}

// totalArrivals returns the work that arrives at all instances, which only leaders know.
func (p *components) totalArrivals(now time.Time) []scheduling.Work {
	ttl := max(maxLostHeartbeats*p.countsInterval(), minArrivalsTTL)

	return p.arrivals.Total(now, ttl, p.scheduler.Work(now))
}
