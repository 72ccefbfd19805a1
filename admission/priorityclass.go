package admission

import (
	"container/heap"
	"time"

	"monsoonlever/fleet"
)

// priorityClass holds the queued requests of one priority and serves their accounts by start-time
// fair queueing.
type priorityClass struct {
	priority fleet.Priority
	// flows also holds idle flows whose virtual start is still ahead of the virtual time.
	flows       map[*account]*flow
	active      flowHeap
	virtualTime float64
	size        int
	// totalWeight is the sum of the weights of the active flows.
	totalWeight float64
}

func newPriorityClass(p fleet.Priority) *priorityClass {
	return &priorityClass{priority: p, flows: make(map[*account]*flow)}
}

func (c *priorityClass) push(t *Ticket) {
	f := c.flows[t.account]
	if f == nil {
		f = &flow{account: t.account, heapIndex: notInHeap}
		c.flows[t.account] = f
	}

	f.tickets = append(f.tickets, t)
	c.size++

	if f.heapIndex == notInHeap {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		heap.Push(&c.active, f)
		c.totalWeight += f.weight()
	}
}

// pop removes and returns the first request of the flow with the lowest virtual start.
func (c *priorityClass) pop() *Ticket {
	f := c.active[0]
	t := f.tickets[0]
	c.virtualTime = f.virtualStart
	f.virtualStart += cost(&t.request) / f.weight()
	heap.Fix(&c.active, f.heapIndex)
	c.remove(t)

	return t
}

func (c *priorityClass) remove(t *Ticket) {
	f := c.flows[t.account]
	f.remove(t)
	c.size--

	if len(f.tickets) > 0 {
		return
	}

	heap.Remove(&c.active, f.heapIndex)
	c.totalWeight -= f.weight()
	c.evictIdle(f)
}

// evictIdle removes the idle flow f once the virtual time has reached its virtual start. When the
// class is empty it removes all flows and resets the virtual time.
func (c *priorityClass) evictIdle(f *flow) {
	if c.size == 0 {
		clear(c.flows)
		c.virtualTime = 0
		c.totalWeight = 0

		return
	}

	if f.virtualStart <= c.virtualTime {
		delete(c.flows, f.account)
	}
}

// mostLoadedWith returns the flow with the highest load, counting t, which is not queued yet, in its
// account's flow.
func (c *priorityClass) mostLoadedWith(t *Ticket) *flow {
	own := &flow{account: t.account, tickets: []*Ticket{t}}
	if f := c.flows[t.account]; f != nil {
		own = f
	}

	heaviest := own
	load := (float64(own.position(t)) + 1) / own.weight()

	for _, f := range c.active {
		if f != own && f.load() > load {
			heaviest, load = f, f.load()
		}
	}

	return heaviest
}

// mostLoaded returns the flow with the highest load.
func (c *priorityClass) mostLoaded() *flow {
	heaviest := c.active[0]

	for _, f := range c.active[1:] {
		if f.load() > heaviest.load() {
			heaviest = f
		}
	}

	return heaviest
}

// position returns the index of t in its account's flow, or the index at which it would be added.
func (c *priorityClass) position(t *Ticket) int {
	if f := c.flows[t.account]; f != nil {
		return f.position(t)
	}

	return 0
}

// nextArrival returns the arrival time of the request that is next by fair queueing.
func (c *priorityClass) nextArrival() time.Time {
	return c.active[0].tickets[0].arrivedAt
}

// ahead estimates how many requests of this class start before t, at index n of its account's flow.
func (c *priorityClass) ahead(t *Ticket, n int) float64 {
	weight := t.account.limits.Load().config.Weight
	totalWeight := c.totalWeight

	if f := c.flows[t.account]; f == nil || f.heapIndex == notInHeap {
		totalWeight += weight
	}

	return min(float64(n)*totalWeight/weight+float64(len(c.active)), float64(c.size))
}
