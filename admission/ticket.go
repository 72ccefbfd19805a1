package admission

import (
	"context"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// Ticket follows one request through admission.
type Ticket struct {
	request     Request
	account     *account
	service     *service
	arrivedAt   time.Time
	latestStart time.Time
	decision    Decision
	// done is closed with the final decision; it is nil if the request was
	// done on arrival.
	done chan struct{}
	// heapIndex is the index in the deadline heap, or noPlace.
	heapIndex int
	queued    bool
	finished  atomic.Bool
}

const notInHeap = -1

// Account returns the client account of the request.
func (t *Ticket) Account() fleet.Account {
	return t.request.Account
}

// Arrived returns the time of arrival.
func (t *Ticket) Arrived() time.Time {
	return t.arrivedAt
}

// Decision returns the decision, and whether it is final.
func (t *Ticket) Decision() (Decision, bool) {
	if t.done == nil {
		return t.decision, true
	}

	select {
	case <-t.done:
		return t.decision, true
	default:
		return Decision{Verdict: Queued}, false
	}
}

// Wait returns the final decision. If ctx ends first it returns Queued, and
// the caller must call Abandon.
func (t *Ticket) Wait(ctx context.Context) Decision {
	if t.done == nil {
		return t.decision
	}

	select {
	case <-t.done:
		return t.decision
	case <-ctx.Done():
		return Decision{Verdict: Queued}
	}
}

func (t *Ticket) decide(d Decision) {
	t.decision = d

	if t.done != nil {
		close(t.done)
	}
}
