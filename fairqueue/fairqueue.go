// Package fairqueue holds requests that wait for the same resource, and says which of them is next.
//
// Requests of a lower rank go first. Within a rank, the flows (usually client accounts) are served
// in proportion to their weights by start-time fair queueing, which counts the cost of requests and
// not their number. The requests of one flow and rank are in order of arrival. Every tenth request
// that starts is one of a higher rank, so that none starves.
//
// A queue is bounded. When it is full, the latest request of the flow with the most requests at the
// highest rank is evicted. Each step takes O(log n) for n requests, apart from the number of ranks.
//
// A Queue is not safe for concurrent use.
//
// # Usage
//
//	q := fairqueue.New[account, *request]()
//	q.SetLimits(fairqueue.Limits{Requests: 1000, Bytes: 16 << 20})
//	evicted := q.Push(&fairqueue.Entry[account, *request]{Value: r, Flow: r.account, Cost: r.tokens})
//	...
//	for q.Len() > 0 && hasRoom() {
//		start(q.Pop().Value)
//	}
package fairqueue

import (
	"cmp"
	"iter"
	"slices"
)

// higherRankInterval is the number of starts of which one goes to a higher rank.
const higherRankInterval = 10

// Flow is the owner of requests that share the resource with other owners. Requests of one owner
// have equal flows.
type Flow interface {
	comparable
	// Name orders flows that are otherwise equal.
	Name() string
	// Weight is the share of the flow relative to other flows. If it is not positive, it counts
	// as 1.
	Weight() float64
}

// Limits bound a queue. Zero is no bound.
type Limits struct {
	// Requests and Bytes bound the whole queue.
	Requests int
	Bytes    int64
	// FlowRequests and FlowBytes bound the requests of one flow over all ranks.
	FlowRequests int
	FlowBytes    int64
}

// Queue is a queue of requests with values of type T. Its exported field is set before its first
// use.
type Queue[F Flow, T any] struct {
	// NoTurn reports whether the requests of a rank start only when no lower rank is left. If it is
	// nil, every tenth start goes to any rank above the lowest.
	NoTurn func(rank int) bool

	limits Limits
	// classes holds the ranks that have requests, the lowest first.
	classes []*class[F, T]
	total   usage
	flows   map[F]usage
	starts  int
	// sequence numbers requests in the order in which they are first added.
	sequence uint64
}

// usage is how many requests are queued, and their size.
type usage struct {
	requests int
	bytes    int64
}

// New returns an empty queue without bounds.
func New[F Flow, T any]() *Queue[F, T] {
	return &Queue[F, T]{flows: make(map[F]usage)}
}

// SetLimits sets the bounds for requests that are added later.
func (q *Queue[F, T]) SetLimits(l Limits) { q.limits = l }

// Len returns the number of requests.
func (q *Queue[F, T]) Len() int { return q.total.requests }

// Bytes returns the size of all requests.
func (q *Queue[F, T]) Bytes() int64 { return q.total.bytes }

// Flows returns the number of flows that have requests.
func (q *Queue[F, T]) Flows() int { return len(q.flows) }

// Competing reports whether requests of different flows or ranks are queued.
func (q *Queue[F, T]) Competing() bool { return len(q.flows) > 1 || len(q.classes) > 1 }

// Push adds a request. It returns the requests that were evicted to make room, which may include
// the request itself.
func (q *Queue[F, T]) Push(e *Entry[F, T]) []*Entry[F, T] {
	if q.exceedsOwn(e) {
		return []*Entry[F, T]{e}
	}

	var evicted []*Entry[F, T]

	for !q.fits(e) {
		victim := q.victim(e)
		evicted = append(evicted, victim)

		if victim == e {
			return evicted
		}

		q.Remove(victim)
	}

	q.add(e)

	return evicted
}

// exceedsOwn reports whether a request is too large for the queue, or its flow has too many
// requests.
func (q *Queue[F, T]) exceedsOwn(e *Entry[F, T]) bool {
	l, own := q.limits, q.flows[e.Flow]

	return l.Bytes > 0 && e.Bytes > l.Bytes ||
		l.FlowRequests > 0 && own.requests >= l.FlowRequests ||
		l.FlowBytes > 0 && own.bytes+e.Bytes > l.FlowBytes
}

func (q *Queue[F, T]) fits(e *Entry[F, T]) bool {
	l := q.limits

	return (l.Requests == 0 || q.total.requests < l.Requests) && (l.Bytes == 0 || q.total.bytes+e.Bytes <= l.Bytes)
}

// victim returns the request to evict to make room for e. It may be e itself.
func (q *Queue[F, T]) victim(e *Entry[F, T]) *Entry[F, T] {
	if len(q.classes) == 0 {
		return e
	}

	last := q.classes[len(q.classes)-1]

	switch {
	case last.rank < e.Rank:
		return e
	case last.rank > e.Rank:
		return last.byLoad.First().entries.last()
	}

	f := last.mostLoadedWith(e.Flow)
	if f == nil {
		return e
	}

	return f.entries.last()
}

func (q *Queue[F, T]) add(e *Entry[F, T]) {
	if e.sequence == 0 {
		q.sequence++
		e.sequence = q.sequence
	}

	i, found := q.find(e.Rank)
	if !found {
		q.classes = slices.Insert(q.classes, i, newClass[F, T](e.Rank))
	}

	q.classes[i].push(e)
	e.queued = true
	q.count(e, 1)
}

// count adds a request to the totals, or subtracts it for a sign of -1.
func (q *Queue[F, T]) count(e *Entry[F, T], sign int) {
	q.total.requests += sign
	q.total.bytes += int64(sign) * e.Bytes

	own := q.flows[e.Flow]
	own.requests += sign
	own.bytes += int64(sign) * e.Bytes

	if own.requests == 0 {
		delete(q.flows, e.Flow)

		return
	}

	q.flows[e.Flow] = own
}

func (q *Queue[F, T]) find(rank int) (int, bool) {
	return slices.BinarySearchFunc(q.classes, rank, func(c *class[F, T], rank int) int { return c.rank - rank })
}

// classOf returns the class of a rank, or nil.
func (q *Queue[F, T]) classOf(rank int) *class[F, T] {
	if i, found := q.find(rank); found {
		return q.classes[i]
	}

	return nil
}

// Pop removes and returns the request that is next. The queue must not be empty.
func (q *Queue[F, T]) Pop() *Entry[F, T] {
	e := q.First()
	q.Start(e)

	return e
}

// First returns the request that is next, or nil if there is none.
func (q *Queue[F, T]) First() *Entry[F, T] {
	switch {
	case len(q.classes) == 0:
		return nil
	default:
		return q.next().first()
	}
}

// Start removes a request because it starts, and counts its cost for its flow. The request need
// not be the next one.
func (q *Queue[F, T]) Start(e *Entry[F, T]) {
	q.starts++
	q.classOf(e.Rank).charge(e)
	q.Remove(e)
}

// Remove removes a request without starting it. It does nothing if the request isn't queued.
func (q *Queue[F, T]) Remove(e *Entry[F, T]) {
	if !e.queued {
		return
	}

	e.queued = false
	i, _ := q.find(e.Rank)
	q.classes[i].remove(e)
	q.count(e, -1)

	if q.classes[i].entryCount == 0 {
		q.classes = slices.Delete(q.classes, i, i+1)
	}
}

// SetRank moves a queued request to another rank. It keeps its order of arrival there.
func (q *Queue[F, T]) SetRank(e *Entry[F, T], rank int) {
	q.Remove(e)
	e.Rank = rank
	q.add(e)
}

// next returns the class whose turn it is. The queue must not be empty.
func (q *Queue[F, T]) next() *class[F, T] {
	next := q.classes[0]
	if (q.starts+1)%higherRankInterval != 0 {
		return next
	}

	var longest *class[F, T]

	for _, c := range q.classes[1:] {
		if q.NoTurn != nil && q.NoTurn(c.rank) {
			continue
		}

		if longest == nil || c.first().ArrivedAt.Before(longest.first().ArrivedAt) {
			longest = c
		}
	}

	return cmp.Or(longest, next)
}

// All returns the requests in the order in which they would start. The queue must not be changed
// meanwhile. The first k requests take O(k log n).
func (q *Queue[F, T]) All() iter.Seq[*Entry[F, T]] {
	return func(yield func(*Entry[F, T]) bool) {
		ahead := q.First()
		if ahead == nil || !yield(ahead) {
			return
		}

		for _, c := range q.classes {
			for e := range c.all() {
				if e != ahead && !yield(e) {
					return
				}
			}
		}
	}
}

// DrainAll empties the queue and returns its requests in order.
func (q *Queue[F, T]) DrainAll() []*Entry[F, T] {
	all := make([]*Entry[F, T], 0, q.Len())
	for q.Len() > 0 {
		all = append(all, q.Pop())
	}

	return all
}

// RequestsAhead estimates how many requests start before e, which may be queued or not.
func (q *Queue[F, T]) RequestsAhead(e *Entry[F, T]) float64 {
	sum := 0.0

	for _, c := range q.classes {
		if c.rank < e.Rank {
			sum += float64(c.entryCount)
		}

		if c.rank == e.Rank {
			sum += c.requestsAhead(e.Flow, c.position(e))
		}
	}

	return sum
}

// CostAhead estimates the cost of the requests that start before e, which may be queued or not.
func (q *Queue[F, T]) CostAhead(e *Entry[F, T]) float64 {
	sum := 0.0

	for _, c := range q.classes {
		if c.rank < e.Rank {
			sum += c.cost
		}

		if c.rank == e.Rank {
			sum += c.costAhead(e)
		}
	}

	return sum
}

// Infeasible returns the queued requests that infeasible reports, given the estimated number of
// requests ahead of each. A request that is reported is not counted as ahead of later ones of its
// flow.
func (q *Queue[F, T]) Infeasible(infeasible func(e *Entry[F, T], ahead float64) bool) []*Entry[F, T] {
	var out []*Entry[F, T]

	lowerRanks := 0.0

	for _, c := range q.classes {
		for _, f := range c.active.items {
			position := 0

			for e := range f.entries.all() {
				if infeasible(e, lowerRanks+c.requestsAhead(f.owner, position)) {
					out = append(out, e)

					continue
				}

				position++
			}
		}

		lowerRanks += float64(c.entryCount)
	}

	return out
}
