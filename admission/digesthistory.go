package admission

import "time"

// publishedDigest is one digest of this instance, indexed by account.
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

// digestHistory holds the digests of this instance that others may still go by: all
// of the last window, and the one before.
type digestHistory []publishedDigest

// trim drops what is older than the newest digest from before the window.
func (h digestHistory) trim(from time.Time) digestHistory {
	for len(h) > 1 && !h[1].at.After(from) {
		h = h[1:]
	}

	return h
}

// minFloor returns the least minFloor.
func (h digestHistory) minFloor() float64 {
	least := h[0].floor

	for _, p := range h[1:] {
		least = min(least, p.floor)
	}

	return least
}

// minWeight returns the minWeight weight of an account.
func (h digestHistory) minWeight(hash uint64) float64 {
	least := h[0].weight(hash)

	for i := range h[1:] {
		least = min(least, h[i+1].weight(hash))
	}

	return least
}
