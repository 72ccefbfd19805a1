package routing

import (
	"math"
	"time"
)

// maxSamples caps the total weight of the outcomes, so that a fault of a busy server is
// detected as soon as that of an idle one.
const maxSamples = 50

// health is the outcome statistics of a server and its ejection state. The weight of an
// outcome decays with Policy.OutcomeHalfLife and as newer outcomes push the total over
// maxSamples.
type health struct {
	succeeded  float64
	failed     float64
	latencySum float64
	updatedAt  time.Time

	ejections int
	probeAt   time.Time
	// dialFailedUntil is when a server that can't be dialed, but couldn't be ejected
	// because of the limit on ejections, loses its dialFailed mark.
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

// meanLatency returns the mean latency of successful calls, per token where the calls
// reported tokens.
func (h *health) meanLatency() float64 {
	if h.succeeded == 0 {
		return 0
	}

	return h.latencySum / h.succeeded
}

// clearOutcomes discards the outcomes, but keeps the number of ejections.
func (h *health) clearOutcomes() {
	h.scale(0)
}
