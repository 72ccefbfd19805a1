package admission

import (
	"context"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// Ticket is a request in admission.
type Ticket struct {
	request     Request
	account     *account
	service     *service
	arrivedAt   time.Time
	latestStart time.Time
	decision    Decision
	// done is closed when a queued request is decided; it is nil if the request was decided on
	// arrival.
	done chan struct{}
	// deadlinePosition belongs to the deadline heap.
	deadlinePosition int
	// entry is nil until the request is queued.
	entry    *entry
	queued   bool
	finished atomic.Bool
}

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

// Wait waits for the final decision and returns it. If ctx is cancelled first, it returns the verdict
// Queued, and the caller must call Controller.Abandon.
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
