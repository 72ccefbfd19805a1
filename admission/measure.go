package admission

import "time"

// demandWeight is the part of a new measurement in the smoothed demand.
const demandWeight = 0.5

// measure returns the part of the account's limits that callers ask for here,
// from 0 to 1, smoothed over the digests.
func (a *account) measure(now time.Time) float64 {
	elapsed := now.Sub(a.demand.measured)
	if a.demand.measured.IsZero() || elapsed <= 0 {
		a.demand.measured = now

		return a.demand.used
	}

	l := a.limits.Load().account
	seconds := elapsed.Seconds()
	peak := max(a.offeredPeak.Swap(0), a.running.Load())

	used := max(
		part(float64(a.offered.Swap(0))/seconds, l.RequestsPerSecond),
		part(float64(a.offeredTokens.Swap(0))/seconds, l.TokensPerSecond),
		part(float64(peak), float64(l.Concurrent)),
	)

	a.demand.measured = now
	a.demand.used += demandWeight * (used - a.demand.used)

	return a.demand.used
}

// part returns v as a part of limit, at most 1; no limit is no demand.
func part(v, limit float64) float64 {
	if limit <= 0 {
		return 0
	}

	return min(v/limit, 1)
}
