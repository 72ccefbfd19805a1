package admission

import "slices"

// fifoQueue is the baseline policy: first come, first served, bounded only by the number of requests.
type fifoQueue struct {
	tickets []*Ticket
	bound   int
}

func (q *fifoQueue) configure(s ServiceConfig)                            { q.bound = s.QueueRequests }
func (q *fifoQueue) ahead(*Ticket) float64                                { return 0 }
func (q *fifoQueue) findInfeasible(func(*Ticket, float64) bool) []*Ticket { return nil }
func (q *fifoQueue) size() int                                            { return len(q.tickets) }
func (q *fifoQueue) bytes() int64                                         { return 0 }
func (q *fifoQueue) drainAll() []*Ticket                                  { return q.tickets }

func (q *fifoQueue) push(t *Ticket) []*Ticket {
	if len(q.tickets) >= q.bound {
		return []*Ticket{t}
	}

	q.tickets = append(q.tickets, t)

	return nil
}

func (q *fifoQueue) pop() *Ticket {
	t := q.tickets[0]
	q.tickets = q.tickets[1:]

	return t
}

func (q *fifoQueue) remove(t *Ticket) {
	q.tickets = slices.DeleteFunc(q.tickets, func(other *Ticket) bool { return other == t })
}
