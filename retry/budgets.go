package retry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

// maxScopes bounds the memory of Budgets; all further scopes share one budget.
const maxScopes = 4096

// Budgets holds the budget of each scope. Looking up the budget of a known scope
// takes no lock. Budgets is safe for concurrent use.
type Budgets struct {
	// Counters is set before the first use; nil counts nothing.
	Counters *Counters

	policy BudgetPolicy
	share  requestShare
	// fixed is BudgetPolicy.MinRetries until SetMinRetries changes it for all scopes.
	fixed fixedPart
	// overflow is shared by the scopes beyond maxScopes.
	overflow *Budget

	// mu serializes changes of byScope, which is replaced and never modified.
	mu      sync.Mutex
	byScope atomic.Pointer[map[Scope]*Budget]
}

// NewBudgets returns Budgets that create the budget of a scope at its first use.
func NewBudgets(p BudgetPolicy) *Budgets {
	b := newBudgets(p, ownShare{})
	b.fixed.set(time.Time{}, float64(b.policy.MinRetries))

	return b
}

// NewSharedBudgets returns Budgets of one of several processes that have a bound on retries in
// common. What they grant as a share of the requests adds up, whichever process counts a request.
// MinRetries, set by SetMinRetries, is the part of this process in the rest of the bound. There is
// none until a window has passed since the process started at startedAt: an earlier process may have
// spent the part, or the others may have had it among them.
func NewSharedBudgets(p BudgetPolicy, startedAt time.Time) *Budgets {
	b := newBudgets(p, commonShare{earlier: earlierPart})
	b.fixed.span = b.policy.Window / budgetBuckets * retryBuckets
	b.fixed.steps.Store(&[]fixedStep{{until: startedAt, beforeStart: true}})

	return b
}

func newBudgets(p BudgetPolicy, share requestShare) *Budgets {
	b := &Budgets{policy: p.withDefaults(), share: share}
	b.overflow = b.newBudget()
	b.byScope.Store(&map[Scope]*Budget{})

	return b
}

// MarkUnspent records that no process spent anything of the bound before this one started, so that it
// has its part at once.
func (b *Budgets) MarkUnspent() {
	b.fixed.dropStart()
}

// Of returns the budget of a scope.
func (b *Budgets) Of(s Scope) *Budget {
	if budget, ok := (*b.byScope.Load())[s]; ok {
		return budget
	}

	return b.add(s)
}

func (b *Budgets) add(s Scope) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()

	old := *b.byScope.Load()
	if budget, ok := old[s]; ok {
		return budget
	}

	if len(old) >= maxScopes {
		return b.overflow
	}

	next := maps.Clone(old)
	next[s] = b.newBudget()
	b.Counters.addGauges(s, next[s])
	b.byScope.Store(&next)

	return next[s]
}

// SetMinRetries sets BudgetPolicy.MinRetries of all scopes, for example when the number of
// processes that share a bound on retries changes. It may be a fraction, which adds to that of the
// share of the requests. A larger number takes effect once it has held for a window if the budgets
// are shared.
func (b *Budgets) SetMinRetries(now time.Time, n float64) {
	b.fixed.set(now, n)
}

// MinRetries returns the number of retries allowed on top of the share of the requests.
func (b *Budgets) MinRetries(now time.Time) float64 {
	return b.fixed.inForce(now)
}

// newBudget returns a budget of one scope. Later calls of SetMinRetries apply to it.
func (b *Budgets) newBudget() *Budget {
	width := b.policy.Window / budgetBuckets

	return &Budget{
		policy:        b.policy,
		share:         b.share,
		fixed:         &b.fixed,
		requests:      window.NewCounter(width, retryBuckets+budgetBuckets),
		sentRetries:   window.NewCounter(width, retryBuckets),
		unsentRetries: window.NewCounter(width, retryBuckets),
		counters:      b.Counters,
	}
}
