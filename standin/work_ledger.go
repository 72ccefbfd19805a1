package standin

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const ledgerPrompts = 1 << 16

// WorkLedger remembers how far the tokens of each prompt and its answer were
// ever computed. Engines that share one count each other's lost work as redone.
type WorkLedger struct {
	mu       sync.Mutex
	computed *bounded[uint64, int]
}

// NewWorkLedger returns an empty ledger.
func NewWorkLedger() *WorkLedger {
	return &WorkLedger{computed: newBounded[uint64, int](ledgerPrompts)}
}

// Compute notes that the tokens from one position up to another are computed
// and returns how many of them had been before.
func (l *WorkLedger) Compute(model, prompt string, from, to int) int {
	key := xxhash.Sum64String(model + "\x00" + prompt)

	l.mu.Lock()
	defer l.mu.Unlock()

	done, _ := l.computed.get(key)
	l.computed.put(key, max(done, to))

	return max(min(done, to)-from, 0)
}
