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
	h.fade(fade)
	h.done += float64(o.done)
	h.failed += float64(o.failed)
	h.latency += float64(o.latency)

	if n := h.samples(); n > maxSamples {
		h.fade(maxSamples / n)
	}
}

func (h *health) fade(part float64) {
	h.done *= part
	h.failed *= part
	h.latency *= part
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
	h.fade(0)
}
