package admission

import (
	"context"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// Ticket follows one request through admission.
type Ticket struct {
	request  Request
	account  *account
	service  *service
	arrived  time.Time
	giveUp   time.Time
	decision Decision
	// decided is closed with the final decision; it is nil if the request was
	// decided on arrival.
	decided chan struct{}
	// place is the index in the deadline heap, or noPlace.
	place    int
	queued   bool
	finished atomic.Bool
}

const noPlace = -1

// Account returns the client account of the request.
func (t *Ticket) Account() fleet.Account {
	return t.request.Account
}

// Arrived returns the time of arrival.
func (t *Ticket) Arrived() time.Time {
	return t.arrived
}

// Decision returns the decision, and whether it is final.
func (t *Ticket) Decision() (Decision, bool) {
	if t.decided == nil {
		return t.decision, true
	}

	select {
	case <-t.decided:
		return t.decision, true
	default:
		return Decision{Verdict: Queued}, false
	}
}

// Wait returns the final decision. If ctx ends first it returns Queued, and
// the caller must call Abandon.
func (t *Ticket) Wait(ctx context.Context) Decision {
	if t.decided == nil {
		return t.decision
	}

	select {
	case <-t.decided:
		return t.decision
	case <-ctx.Done():
		return Decision{Verdict: Queued}
	}
}

func (t *Ticket) decide(d Decision) {
	t.decision = d

	if t.decided != nil {
		close(t.decided)
	}
}
