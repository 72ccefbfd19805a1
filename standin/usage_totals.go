package standin

import "sync"

// UsagePath is where an engine answers with its UsageTotals.
const UsagePath = "/usage"

// UsageTotals counts the tokens of all attempts of an engine.
type UsageTotals struct {
	Attempts  int `json:"attempts"`
	Prefilled int `json:"prefilled"`
	Cached    int `json:"cached"`
	Decoded   int `json:"decoded"`
	// RedonePrefill and RedoneDecode are the parts of Prefilled and Decoded that
	// had been computed before, by any engine with the same WorkLedger.
	RedonePrefill int `json:"redonePrefill"`
	RedoneDecode  int `json:"redoneDecode"`
}

// Redone returns all tokens that were computed again.
func (u UsageTotals) Redone() int {
	return u.RedonePrefill + u.RedoneDecode
}

// usageCounter adds up the totals of an engine.
type usageCounter struct {
	mu     sync.Mutex
	totals UsageTotals
}

func (c *usageCounter) prefill(cached, prefilled, redone int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.totals.Attempts++
	c.totals.Cached += cached
	c.totals.Prefilled += prefilled
	c.totals.RedonePrefill += redone
}

func (c *usageCounter) decode(redone int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.totals.Decoded++
	c.totals.RedoneDecode += redone
}

func (c *usageCounter) get() UsageTotals {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.totals
}
