package fairqueue

import (
	"cmp"
	"iter"
	"math"
)

// class holds the queued requests of one rank and serves their flows by start-time fair queueing.
type class[F Flow, T any] struct {
	rank int
	// flows also holds idle flows whose virtual start is still ahead of the virtual time.
	flows map[F]*flow[F, T]
	// active and byLoad hold the flows that have requests, by their virtual start and by their
	// load, the highest first.
	active, byLoad *Heap[*flow[F, T]]
	virtualTime    float64
	entryCount     int
	// cost is the cost of all requests, and totalWeight the sum of the weights of active flows.
	cost, totalWeight float64
}

// flow holds the queued requests of one owner at one rank.
type flow[F Flow, T any] struct {
	owner   F
	entries tree[F, T]
	// weight is the weight of the owner when the flow last became active.
	weight float64
	// virtualStart is the virtual time at which the flow's next request starts.
	virtualStart                   float64
	activePosition, byLoadPosition int
}

func newClass[F Flow, T any](rank int) *class[F, T] {
	return &class[F, T]{
		rank: rank, flows: make(map[F]*flow[F, T]),
		active: NewHeap((*flow[F, T]).startsBefore, func(f *flow[F, T]) *int { return &f.activePosition }),
		byLoad: NewHeap(
			func(a, b *flow[F, T]) bool { return a.load() > b.load() }, func(f *flow[F, T]) *int { return &f.byLoadPosition }),
	}
}

// weightOf returns the weight that counts for an owner.
func weightOf[F Flow](owner F) float64 {
	if w := owner.Weight(); w > 0 && !math.IsInf(w, 0) {
		return w
	}

	return 1
}

// startsBefore orders flows by virtual start, and by name so that ties are deterministic.
func (f *flow[F, T]) startsBefore(other *flow[F, T]) bool {
	return cmp.Or(cmp.Compare(f.virtualStart, other.virtualStart), cmp.Compare(f.owner.Name(), other.owner.Name())) < 0
}

// load returns the number of queued requests divided by the weight.
func (f *flow[F, T]) load() float64 { return float64(f.entries.len()) / f.weight }

func (c *class[F, T]) push(e *Entry[F, T]) {
	f := c.flows[e.Flow]
	if f == nil {
		f = &flow[F, T]{owner: e.Flow}
		c.flows[e.Flow] = f
	}

	f.entries.insert(e)
	c.entryCount++
	c.cost += e.work()

	if f.activePosition > 0 {
		c.byLoad.Fix(f)

		return
	}

	f.weight = weightOf(f.owner)
	f.virtualStart = max(f.virtualStart, c.virtualTime)
	c.active.Add(f)
	c.byLoad.Add(f)
	c.totalWeight += f.weight
}

// charge counts the cost of a queued request that starts.
func (c *class[F, T]) charge(e *Entry[F, T]) {
	f := c.flows[e.Flow]
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart += e.work() / f.weight
	c.active.Fix(f)
}

func (c *class[F, T]) remove(e *Entry[F, T]) {
	f := c.flows[e.Flow]
	f.entries.remove(e)
	c.entryCount--
	c.cost -= e.work()

	if f.entries.len() > 0 {
		c.byLoad.Fix(f)

		return
	}

	c.active.Remove(f)
	c.byLoad.Remove(f)
	c.totalWeight -= f.weight

	if f.virtualStart <= c.virtualTime {
		delete(c.flows, f.owner)
	}
}

// first returns the request that is next by fair queueing.
func (c *class[F, T]) first() *Entry[F, T] { return c.active.First().entries.first() }

// mostLoadedWith returns the flow with the highest load, counting one more request of owner. It
// returns nil if that is the owner's.
func (c *class[F, T]) mostLoadedWith(owner F) *flow[F, T] {
	weight, requests := weightOf(owner), 1
	own := c.flows[owner]

	if own != nil {
		requests += own.entries.len()
	}

	if top := c.byLoad.First(); top != own && top.load() > float64(requests)/weight {
		return top
	}

	return nil
}

// position returns the number of requests of its flow before e.
func (c *class[F, T]) position(e *Entry[F, T]) int {
	f := c.flows[e.Flow]
	if f == nil {
		return 0
	}

	count, _ := f.entries.before(e)

	return count
}

// weights returns the weight of an owner, and that of all active flows if the owner has requests.
func (c *class[F, T]) weights(owner F) (own, total float64) {
	if f := c.flows[owner]; f != nil && f.activePosition > 0 {
		return f.weight, c.totalWeight
	}

	own = weightOf(owner)

	return own, c.totalWeight + own
}

// requestsAhead estimates how many requests of this class start before the one with n requests of
// its flow before it.
func (c *class[F, T]) requestsAhead(owner F, n int) float64 {
	own, total := c.weights(owner)

	return min(float64(n)*total/own+float64(c.active.Count()), float64(c.entryCount))
}

// costAhead estimates the cost of the requests of this class that start before e.
func (c *class[F, T]) costAhead(e *Entry[F, T]) float64 {
	own, total := c.weights(e.Flow)
	lead, before, behind := 0.0, 0.0, 0.0

	if f := c.flows[e.Flow]; f != nil {
		_, before = f.entries.before(e)
		lead = max(0, f.virtualStart-c.virtualTime)
		behind = costOf(f.entries.root) - before
	}

	return min((lead+before/own)*total, c.cost-behind)
}

// cursor is a request in the order of a class. A cursor of the first request of a flow has the
// position of the flow in the heap.
type cursor[F Flow, T any] struct {
	flow  *flow[F, T]
	entry *Entry[F, T]
	start float64
	// heapIndex is the index of the flow in the heap, or -1.
	heapIndex int
	position  int
}

func (a *cursor[F, T]) less(b *cursor[F, T]) bool {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.flow.owner.Name(), b.flow.owner.Name())) < 0
}

// all returns the requests in the order in which they would start.
func (c *class[F, T]) all() iter.Seq[*Entry[F, T]] {
	return func(yield func(*Entry[F, T]) bool) {
		next := NewHeap((*cursor[F, T]).less, func(k *cursor[F, T]) *int { return &k.position })

		addFlow := func(i int) {
			if i < c.active.Count() {
				f := c.active.items[i]
				next.Add(&cursor[F, T]{flow: f, entry: f.entries.first(), start: f.virtualStart, heapIndex: i})
			}
		}

		addFlow(0)

		for next.Count() > 0 {
			k := next.First()
			next.Remove(k)

			if !yield(k.entry) {
				return
			}

			if k.heapIndex >= 0 {
				addFlow(2*k.heapIndex + 1)
				addFlow(2*k.heapIndex + 2)
			}

			if e := k.flow.entries.after(k.entry); e != nil {
				next.Add(&cursor[F, T]{flow: k.flow, entry: e, start: k.start + k.entry.work()/k.flow.weight, heapIndex: -1})
			}
		}
	}
}
