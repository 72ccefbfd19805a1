package retry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// maxScopes bounds the memory of Budgets; all further scopes share one budget.
const maxScopes = 4096

// Budgets holds the budget of each scope. Looking up the budget of a known scope
// takes no lock. Budgets is safe for concurrent use.
type Budgets struct {
	// Counters is set before the first use; nil counts nothing.
	Counters *Counters

	policy BudgetPolicy
	// minRetries is BudgetPolicy.MinRetries until SetMinRetries changes it for all
	// scopes.
	minRetries atomic.Int64
	// overflow is shared by the scopes beyond maxScopes.
	overflow *Budget

	// mu serializes changes of byScope, which is replaced and never modified.
	mu      sync.Mutex
	byScope atomic.Pointer[map[Scope]*Budget]
}

// NewBudgets returns Budgets that create the budget of a scope at its first use.
func NewBudgets(p BudgetPolicy) *Budgets {
	p = p.withDefaults()
	b := &Budgets{policy: p}
	b.minRetries.Store(int64(p.MinRetries))
	b.overflow = b.newBudget()
	b.byScope.Store(&map[Scope]*Budget{})

	return b
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
	b.byScope.Store(&next)

	return next[s]
}

// SetMinRetries sets BudgetPolicy.MinRetries of all scopes, for example when the
// number of instances that share a bound on retries changes.
func (b *Budgets) SetMinRetries(n int) {
	b.minRetries.Store(int64(n))
}

// newBudget returns a budget of one scope. Later calls of SetMinRetries apply to it.
func (b *Budgets) newBudget() *Budget {
	budget := newBudget(b.policy)
	budget.minRetries, budget.counters = &b.minRetries, b.Counters

	return budget
}
