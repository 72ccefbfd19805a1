package admission

import (
	"container/heap"
	"time"

	"monsoonlever/fleet"
)

// class holds the queued requests of one priority and serves its accounts by
// start-time fair queueing.
type class struct {
	priority fleet.Priority
	// flows holds idle flows as well, while they are ahead of virtual time.
	flows   map[*account]*flow
	active  flowHeap
	virtual float64
	size    int
	// weights is the sum of the weights of the active flows.
	weights float64
}

func newClass(p fleet.Priority) *class {
	return &class{priority: p, flows: make(map[*account]*flow)}
}

func (c *class) push(t *Ticket) {
	f := c.flows[t.account]
	if f == nil {
		f = &flow{account: t.account, place: noPlace}
		c.flows[t.account] = f
	}

	f.tickets = append(f.tickets, t)
	c.size++

	if f.place == noPlace {
		f.start = max(f.start, c.virtual)
		heap.Push(&c.active, f)
		c.weights += f.weight()
	}
}

// pop takes the first request of the account that is furthest behind.
func (c *class) pop() *Ticket {
	f := c.active[0]
	t := f.tickets[0]
	c.virtual = f.start
	f.start += cost(&t.request) / f.weight()
	heap.Fix(&c.active, f.place)
	c.remove(t)

	return t
}

func (c *class) remove(t *Ticket) {
	f := c.flows[t.account]
	f.remove(t)
	c.size--

	if len(f.tickets) > 0 {
		return
	}

	heap.Remove(&c.active, f.place)
	c.weights -= f.weight()
	c.forget(f)
}

// forget drops idle flows that virtual time has caught up with.
func (c *class) forget(f *flow) {
	if c.size == 0 {
		clear(c.flows)
		c.virtual = 0
		c.weights = 0

		return
	}

	if f.start <= c.virtual {
		delete(c.flows, f.account)
	}
}

// heaviest returns the flow that queues the most for its weight, counting the
// newcomer t as queued.
func (c *class) heaviest(t *Ticket) *flow {
	own := &flow{account: t.account, tickets: []*Ticket{t}}
	if f := c.flows[t.account]; f != nil {
		own = f
	}

	most := own
	load := (float64(own.position(t)) + 1) / own.weight()

	for _, f := range c.active {
		if f != own && f.load() > load {
			most, load = f, f.load()
		}
	}

	return most
}

// heaviestActive returns the flow that queues the most for its weight.
func (c *class) heaviestActive() *flow {
	most := c.active[0]

	for _, f := range c.active[1:] {
		if f.load() > most.load() {
			most = f
		}
	}

	return most
}

// place returns the place of t in its account's queue, or where it would be added.
func (c *class) place(t *Ticket) int {
	if f := c.flows[t.account]; f != nil {
		return f.position(t)
	}

	return 0
}

// oldest returns the arrival of the request that is next by fair queueing.
func (c *class) oldest() time.Time {
	return c.active[0].tickets[0].arrived
}

// ahead estimates how many requests of this class start before the request at
// place n of its account's queue.
func (c *class) ahead(t *Ticket, n int) float64 {
	weight := t.account.limits.Load().account.Weight
	weights := c.weights

	if f := c.flows[t.account]; f == nil || f.place == noPlace {
		weights += weight
	}

	return min(float64(n)*weights/weight+float64(len(c.active)), float64(c.size))
}
