package admission

import "time"

// publishedDigest is a digest that this instance published, indexed by account.
type publishedDigest struct {
	at      time.Time
	floor   float64
	weights map[uint64]float64
}

func (p *publishedDigest) weight(hash uint64) float64 {
	if w, ok := p.weights[hash]; ok {
		return w
	}

	return p.floor
}

// digestHistory holds the digests of this instance that other members may still use, oldest first:
// those published within the window, and the last one before it.
type digestHistory []publishedDigest

// trim removes the digests that were superseded before from, the start of the window.
func (h digestHistory) trim(from time.Time) digestHistory {
	for len(h) > 1 && !h[1].at.After(from) {
		h = h[1:]
	}

	return h
}

// minFloor returns the lowest floor in the history.
func (h digestHistory) minFloor() float64 {
	lowest := h[0].floor

	for _, p := range h[1:] {
		lowest = min(lowest, p.floor)
	}

	return lowest
}

// minWeight returns the lowest weight of an account in the history.
func (h digestHistory) minWeight(hash uint64) float64 {
	lowest := h[0].weight(hash)

	for i := range h[1:] {
		lowest = min(lowest, h[i+1].weight(hash))
	}

	return lowest
}
