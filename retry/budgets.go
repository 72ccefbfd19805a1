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
	shared *Budget

	mu      sync.Mutex
	current atomic.Pointer[map[Scope]*Budget]
}

// NewBudgets returns budgets that are made as their scopes are first seen.
func NewBudgets(p BudgetPolicy) *Budgets {
	p = p.withDefaults()
	b := &Budgets{policy: p, shared: newBudget(p)}
	b.current.Store(&map[Scope]*Budget{})

	return b
}

// Of returns the budget of a scope.
func (b *Budgets) Of(s Scope) *Budget {
	if budget, ok := (*b.current.Load())[s]; ok {
		return budget
	}

	return b.add(s)
}

func (b *Budgets) add(s Scope) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()

	old := *b.current.Load()
	if budget, ok := old[s]; ok {
		return budget
	}

	if len(old) >= maxScopes {
		return b.shared
	}

	next := maps.Clone(old)
	next[s] = newBudget(b.policy)
	b.current.Store(&next)

	return next[s]
}
