package retry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// maxScopes bounds the memory of budgets; the scopes beyond share one.
const maxScopes = 4096

// Budgets holds the budget of each scope. Finding one takes no lock.
type Budgets struct {
	policy BudgetPolicy
	// minRetries is the policy's Least until SetLeast changes it for all scopes.
	minRetries atomic.Int64
	overflow   *Budget

	mu      sync.Mutex
	byScope atomic.Pointer[map[Scope]*Budget]
}

// NewBudgets returns budgets that are made as their scopes are first seen.
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

// SetMinRetries sets how many retries there may be in a window of each scope however few
// requests there are, as when the instances that share a bound come and go.
func (b *Budgets) SetMinRetries(n int) {
	b.minRetries.Store(int64(n))
}

// newBudget makes the budget of one scope, which follows SetLeast.
func (b *Budgets) newBudget() *Budget {
	budget := newBudget(b.policy)
	budget.minRetries = &b.minRetries

	return budget
}
