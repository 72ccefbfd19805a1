package routing

import (
	"math"
	"time"
)

// maxSamples is how many outcomes are remembered, so that a busy server is found
// faulty as soon as an idle one.
const maxSamples = 50

// health is what the outcomes of calls say of a server. Old outcomes fade with
// a half-life and with newer ones.
type health struct {
	succeeded  float64
	failed     float64
	latencySum float64
	updatedAt  time.Time

	ejections int
	probeAt   time.Time
	// dialFailedUntil is when a server that can't be dialled is tried again,
	// although it couldn't be ejected.
	dialFailedUntil time.Time
}

func (h *health) addOutcomes(now time.Time, halfLife time.Duration, o outcomeCounts) {
	factor := 1.0
	if !h.updatedAt.IsZero() {
		factor = math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(halfLife))
	}

	h.updatedAt = now
	h.scale(factor)
	h.succeeded += float64(o.succeeded)
	h.failed += float64(o.failed)
	h.latencySum += float64(o.latencySum)

	if n := h.samples(); n > maxSamples {
		h.scale(maxSamples / n)
	}
}

func (h *health) scale(factor float64) {
	h.succeeded *= factor
	h.failed *= factor
	h.latencySum *= factor
}

func (h *health) samples() float64 {
	return h.succeeded + h.failed
}

func (h *health) errorRate() float64 {
	if h.samples() == 0 {
		return 0
	}

	return h.failed / h.samples()
}

// meanLatency is per token where calls report tokens.
func (h *health) meanLatency() float64 {
	if h.succeeded == 0 {
		return 0
	}

	return h.latencySum / h.succeeded
}

// clearOutcomes forgets the outcomes but not how often the server was ejected.
func (h *health) clearOutcomes() {
	h.scale(0)
}
