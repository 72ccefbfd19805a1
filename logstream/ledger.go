package logstream

import "time"

// Ledger is a token bucket: within any time span it grants at most Burst
// appends and Rate more for each second of the span.
type Ledger struct {
	// Rate is the share of appends a second.
	Rate float64
	// Burst is how many appends may follow each other after silence.
	Burst float64

	tokens  float64
	updated time.Time
	started bool
}

// Take takes one token and returns 0, or takes none and returns the time
// until there is one.
func (l *Ledger) Take(now time.Time) time.Duration {
	l.refill(now)

	if l.tokens >= 1 {
		l.tokens--

		return 0
	}

	wait := time.Duration((1 - l.tokens) / l.Rate * float64(time.Second))

	return max(wait, time.Millisecond)
}

func (l *Ledger) refill(now time.Time) {
	if !l.started {
		l.started = true
		l.updated = now
		l.tokens = l.Burst

		return
	}

	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.tokens = min(l.Burst, l.tokens+elapsed.Seconds()*l.Rate)
		l.updated = now
	}
}
