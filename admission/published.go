package admission

import "time"

// published is one digest of this instance, indexed by account.
type published struct {
	at      time.Time
	floor   float64
	weights map[uint64]float64
}

func (p *published) weight(hash uint64) float64 {
	if w, ok := p.weights[hash]; ok {
		return w
	}

	return p.floor
}

// history holds the digests of this instance that others may still go by: all
// of the last window, and the one before.
type history []published

// trim drops what is older than the newest digest from before the window.
func (h history) trim(from time.Time) history {
	for len(h) > 1 && !h[1].at.After(from) {
		h = h[1:]
	}

	return h
}

// floor returns the least floor.
func (h history) floor() float64 {
	least := h[0].floor

	for _, p := range h[1:] {
		least = min(least, p.floor)
	}

	return least
}

// least returns the least weight of an account.
func (h history) least(hash uint64) float64 {
	least := h[0].weight(hash)

	for i := range h[1:] {
		least = min(least, h[i+1].weight(hash))
	}

	return least
}
