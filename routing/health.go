package routing

import (
	"math"
	"time"
)

// health is what the outcomes of calls say of a server. Old outcomes fade with
// a half-life, so that a server which has recovered is seen to have.
type health struct {
	done    float64
	failed  float64
	latency float64
	at      time.Time

	ejections int
	probeAt   time.Time
	// suspectUntil is when a server that can't be dialled is tried again,
	// although it couldn't be ejected.
	suspectUntil time.Time
}

func (h *health) add(now time.Time, halfLife time.Duration, o outcomes) {
	fade := 1.0
	if !h.at.IsZero() {
		fade = math.Exp2(-float64(now.Sub(h.at)) / float64(halfLife))
	}

	h.at = now
	h.done = h.done*fade + float64(o.done)
	h.failed = h.failed*fade + float64(o.failed)
	h.latency = h.latency*fade + float64(o.latency)
}

func (h *health) samples() float64 {
	return h.done + h.failed
}

func (h *health) errorRate() float64 {
	if h.samples() == 0 {
		return 0
	}

	return h.failed / h.samples()
}

// meanLatency is per token where calls report tokens.
func (h *health) meanLatency() float64 {
	if h.done == 0 {
		return 0
	}

	return h.latency / h.done
}

// clear forgets the outcomes but not how often the server was ejected.
func (h *health) clear() {
	h.done, h.failed, h.latency = 0, 0, 0
}
