package standin

import "time"

// openEnd is how long a period without an end is taken to last.
const openEnd = 100 * 365 * 24 * time.Hour

// period is a span of time; the zero value covers nothing.
type period struct {
	end time.Time
}

func newPeriod(now time.Time, d time.Duration) period {
	if d <= 0 {
		d = openEnd
	}

	return period{end: now.Add(d)}
}

func (p period) covers(t time.Time) bool {
	return t.Before(p.end)
}

func (p period) left(t time.Time) time.Duration {
	return p.end.Sub(t)
}
