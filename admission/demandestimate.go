package admission

import "time"

// demandSmoothing is the weight of a new measurement in the smoothed demand.
const demandSmoothing = 0.5

// measureDemand returns the demand on this instance as a fraction of the account's limits, from 0
// to 1, smoothed over successive digests.
func (a *account) measureDemand(now time.Time) float64 {
	elapsed := now.Sub(a.demand.measuredAt)
	if a.demand.measuredAt.IsZero() || elapsed <= 0 {
		a.demand.measuredAt = now

		return a.demand.fraction
	}

	l := a.limits.Load().config
	seconds := elapsed.Seconds()
	peak := max(a.peakConcurrency.Swap(0), a.running.Load())

	fraction := max(
		fractionOf(float64(a.offeredRequests.Swap(0))/seconds, l.RequestsPerSecond),
		fractionOf(float64(a.offeredTokens.Swap(0))/seconds, l.TokensPerSecond),
		fractionOf(float64(peak), float64(l.Concurrent)),
	)

	a.demand.measuredAt = now
	a.demand.fraction += demandSmoothing * (fraction - a.demand.fraction)

	return a.demand.fraction
}

// fractionOf returns v as a fraction of limit, at most 1. Without a limit it returns 0.
func fractionOf(v, limit float64) float64 {
	if limit <= 0 {
		return 0
	}

	return min(v/limit, 1)
}
