package admission

import (
	"slices"

	"monsoonlever/fleet"
)

// fairQueue serves the highest priority first, and the accounts within a priority in proportion to
// their weights. Every lowerPriorityInterval-th start goes to a lower priority to prevent
// starvation. When the queue is full, it evicts the latest request of the account with the highest
// load at the lowest priority.
type fairQueue struct {
	// classes holds the priorities that have queued requests, the highest first.
	classes     []*priorityClass
	count       int
	queuedBytes int64
	config      ServiceConfig
	starts      int
}

// lowerPriorityInterval is the number of starts of which one goes to a lower priority.
const lowerPriorityInterval = 10

func newFairQueue() queue { return &fairQueue{} }

func (q *fairQueue) configure(s ServiceConfig) { q.config = s }

func (q *fairQueue) size() int { return q.count }

func (q *fairQueue) bytes() int64 { return q.queuedBytes }

func (q *fairQueue) find(p fleet.Priority) (int, bool) {
	return slices.BinarySearchFunc(q.classes, p, func(c *priorityClass, p fleet.Priority) int {
		return int(p) - int(c.priority)
	})
}

func (q *fairQueue) ahead(t *Ticket) float64 {
	sum := 0.0

	for _, c := range q.classes {
		if c.priority > t.request.Priority {
			sum += float64(c.size)
		}

		if c.priority == t.request.Priority {
			sum += c.ahead(t, c.position(t))
		}
	}

	return sum
}

func (q *fairQueue) push(t *Ticket) []*Ticket {
	if t.request.Bytes > q.config.QueueBytes {
		return []*Ticket{t}
	}

	var out []*Ticket

	for !q.fits(t) {
		victim := q.victim(t)
		out = append(out, victim)

		if victim == t {
			return out
		}

		q.remove(victim)
	}

	q.add(t)

	return out
}

func (q *fairQueue) fits(t *Ticket) bool {
	return q.count < q.config.QueueRequests && q.queuedBytes+t.request.Bytes <= q.config.QueueBytes
}

// victim returns the request to evict to make room for t. It may be t itself.
func (q *fairQueue) victim(t *Ticket) *Ticket {
	lowest := q.classes[len(q.classes)-1]

	if lowest.priority > t.request.Priority {
		return t
	}

	if lowest.priority < t.request.Priority {
		return lowest.mostLoaded().last()
	}

	f := lowest.mostLoadedWith(t)
	if f.account == t.account {
		return t
	}

	return f.last()
}

func (q *fairQueue) add(t *Ticket) {
	i, found := q.find(t.request.Priority)
	if !found {
		q.classes = slices.Insert(q.classes, i, newPriorityClass(t.request.Priority))
	}

	q.classes[i].push(t)
	q.count++
	q.queuedBytes += t.request.Bytes
}

func (q *fairQueue) pop() *Ticket {
	q.starts++
	c := q.classes[0]

	if q.starts%lowerPriorityInterval == 0 {
		c = q.longestWaiting()
	}

	t := c.pop()
	q.countRemoved(c, t)

	return t
}

// longestWaiting returns the class, below the highest priority, whose next request arrived first.
// If there is only one class, it returns that.
func (q *fairQueue) longestWaiting() *priorityClass {
	if len(q.classes) == 1 {
		return q.classes[0]
	}

	return slices.MinFunc(q.classes[1:], func(a, b *priorityClass) int {
		return a.nextArrival().Compare(b.nextArrival())
	})
}

func (q *fairQueue) remove(t *Ticket) {
	i, found := q.find(t.request.Priority)
	if !found {
		return
	}

	c := q.classes[i]
	c.remove(t)
	q.countRemoved(c, t)
}

// countRemoved updates the totals after t was removed from c, and removes c if it is empty.
func (q *fairQueue) countRemoved(c *priorityClass, t *Ticket) {
	q.count--
	q.queuedBytes -= t.request.Bytes

	if c.size == 0 {
		q.classes = slices.DeleteFunc(q.classes, func(other *priorityClass) bool { return other == c })
	}
}

func (q *fairQueue) drainAll() []*Ticket {
	var all []*Ticket

	for q.count > 0 {
		all = append(all, q.pop())
	}

	return all
}

// findInfeasible returns the queued requests that infeasible reports, given the estimated number of
// requests ahead of each. A request that is reported is not counted as ahead of later ones of its
// account.
func (q *fairQueue) findInfeasible(infeasible func(t *Ticket, ahead float64) bool) []*Ticket {
	var out []*Ticket

	higherPriority := 0.0

	for _, c := range q.classes {
		for _, f := range c.active {
			position := 0

			for _, t := range f.tickets {
				if infeasible(t, higherPriority+c.ahead(t, position)) {
					out = append(out, t)

					continue
				}

				position++
			}
		}

		higherPriority += float64(c.size)
	}

	return out
}
