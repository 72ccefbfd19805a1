package admission

// queue orders the requests that wait for one service.
type queue interface {
	// ahead estimates how many requests would be started before t.
	ahead(t *Ticket) float64
	// push adds t. It returns the tickets that had to leave for it, which may
	// be t itself.
	push(t *Ticket) []*Ticket
	// pop takes the ticket to start next, or nil.
	pop() *Ticket
	// remove takes out a ticket that is in the queue.
	remove(t *Ticket)
	// drainAll empties the queue.
	drainAll() []*Ticket
	// findInfeasible returns the queued tickets that are hopeless, given how many
	// requests would be started before each.
	findInfeasible(hopeless func(t *Ticket, ahead float64) bool) []*Ticket
	size() int
	bytes() int64
	// configure sets the bounds.
	configure(s ServiceConfig)
}
