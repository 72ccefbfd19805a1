package admission

import "monsoonlever/fairqueue"

// fairQueue serves the highest priority first, and the accounts within a priority in proportion to
// their weights.
type fairQueue struct {
	queue *fairqueue.Queue[*account, *Ticket]
}

// entry is a request in a fair queue.
type entry = fairqueue.Entry[*account, *Ticket]

func newFairQueue() queue { return &fairQueue{queue: fairqueue.New[*account, *Ticket]()} }

func (q *fairQueue) configure(s ServiceConfig) {
	q.queue.SetLimits(fairqueue.Limits{Requests: s.QueueRequests, Bytes: s.QueueBytes})
}

func (q *fairQueue) size() int { return q.queue.Len() }

func (q *fairQueue) bytes() int64 { return q.queue.Bytes() }

func (q *fairQueue) ahead(t *Ticket) float64 { return q.queue.RequestsAhead(t.queueEntry()) }

func (q *fairQueue) push(t *Ticket) []*Ticket { return tickets(q.queue.Push(t.queueEntry())) }

func (q *fairQueue) pop() *Ticket { return q.queue.Pop().Value }

func (q *fairQueue) remove(t *Ticket) { q.queue.Remove(t.queueEntry()) }

func (q *fairQueue) drainAll() []*Ticket { return tickets(q.queue.DrainAll()) }

func (q *fairQueue) findInfeasible(infeasible func(t *Ticket, ahead float64) bool) []*Ticket {
	return tickets(q.queue.Infeasible(func(e *entry, ahead float64) bool { return infeasible(e.Value, ahead) }))
}

func tickets(entries []*entry) []*Ticket {
	var out []*Ticket
	for _, e := range entries {
		out = append(out, e.Value)
	}

	return out
}

// queueEntry returns the entry by which the request is queued.
func (t *Ticket) queueEntry() *entry {
	if t.entry == nil {
		r := &t.request
		t.entry = &entry{
			Value: t, Flow: t.account, Rank: -int(r.Priority), Cost: float64(r.Tokens), Bytes: r.Bytes, ArrivedAt: t.arrivedAt,
		}
	}

	return t.entry
}

// Name returns the name of the account.
func (a *account) Name() string { return string(a.name) }

// Weight returns the weight of the account relative to others.
func (a *account) Weight() float64 { return a.limits.Load().config.Weight }
