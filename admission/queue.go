package admission

// queue holds the requests that wait for one service.
type queue interface {
	// ahead estimates how many requests would start before t.
	ahead(t *Ticket) float64
	// push adds t. It returns the tickets that were evicted to make room, which may include t
	// itself.
	push(t *Ticket) []*Ticket
	// pop removes and returns the ticket to start next. The queue must not be empty.
	pop() *Ticket
	// remove removes a ticket that is in the queue.
	remove(t *Ticket)
	// drainAll empties the queue and returns its tickets.
	drainAll() []*Ticket
	// findInfeasible returns the queued tickets that infeasible reports, given the estimated
	// number of requests that would start before each.
	findInfeasible(infeasible func(t *Ticket, ahead float64) bool) []*Ticket
	size() int
	bytes() int64
	// configure sets the bounds.
	configure(s ServiceConfig)
}
