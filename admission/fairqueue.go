package admission

// fairQueue is first come, first served.
type fairQueue struct {
	tickets []*Ticket
	held    int64
	config  ServiceConfig
}

func newFairQueue() queue { return &fairQueue{} }

func (q *fairQueue) configure(s ServiceConfig) { q.config = s }

func (q *fairQueue) ahead(t *Ticket) float64 {
	for i, other := range q.tickets {
		if other == t {
			return float64(i)
		}
	}

	return float64(len(q.tickets))
}

func (q *fairQueue) push(t *Ticket) []*Ticket {
	if len(q.tickets) >= q.config.QueueRequests || q.held >= q.config.QueueBytes {
		return []*Ticket{t}
	}

	q.tickets = append(q.tickets, t)
	q.held += t.request.Bytes

	return nil
}

func (q *fairQueue) pop() *Ticket {
	t := q.tickets[0]
	q.remove(t)

	return t
}

func (q *fairQueue) remove(t *Ticket) {
	for i, other := range q.tickets {
		if other == t {
			q.tickets = append(q.tickets[:i], q.tickets[i+1:]...)
			q.held -= t.request.Bytes

			return
		}
	}
}

func (q *fairQueue) drainAll() []*Ticket {
	all := q.tickets
	q.tickets, q.held = nil, 0

	return all
}

func (q *fairQueue) size() int { return len(q.tickets) }

func (q *fairQueue) bytes() int64 { return q.held }
