package admission

import "math"

// flow holds the queued requests of one account at one priority, in order of arrival.
type flow struct {
	account *account
	tickets []*Ticket
	// virtualStart is the virtual time at which the flow's next request starts.
	virtualStart float64
	// heapIndex is the index in the heap of the class, or notInHeap.
	heapIndex int
}

func (f *flow) weight() float64 {
	return f.account.limits.Load().config.Weight
}

// load returns the number of queued requests divided by the account's weight.
func (f *flow) load() float64 {
	return float64(len(f.tickets)) / f.weight()
}

// position returns the index of t, or the index at which it would be added.
func (f *flow) position(t *Ticket) int {
	for i, other := range f.tickets {
		if other == t {
			return i
		}
	}

	return len(f.tickets)
}

func (f *flow) last() *Ticket {
	return f.tickets[len(f.tickets)-1]
}

func (f *flow) remove(t *Ticket) {
	i := f.position(t)
	if i == len(f.tickets) {
		return
	}

	copy(f.tickets[i:], f.tickets[i+1:])
	f.tickets[len(f.tickets)-1] = nil
	f.tickets = f.tickets[:len(f.tickets)-1]
}

// cost returns how far a request advances its flow's virtual time, before the weight is applied:
// its tokens, at least 1.
func cost(r *Request) float64 {
	return math.Max(1, float64(r.Tokens))
}
