package ratelimit

import (
	"math"
	"time"
)

const (
	// measureTime is the time over which the rate of grants is averaged.
	measureTime = 300 * time.Millisecond
	// decrease is the factor by which the rate falls after a rejection.
	decrease = 0.7
	// fastIncrease and slowIncrease are the shares of the rate by which it rises in a second: fast
	// below the rate at which a request was last rejected, where that is known, and slowly above.
	fastIncrease, slowIncrease = 1.0, 0.03
	// nearRejected is the share of the rate of the last rejection from which the rate rises slowly.
	nearRejected = 0.9
	// maxUnused is how many times the rate of recent grants the rate rises to: more has not been
	// shown to fit.
	maxUnused = 2
	// minRoomRate is the least rate in requests a second: only requests show that there is room
	// again.
	minRoomRate Rate = 1
	// releaseAfter is how long after the last rejection the rate is no longer limited.
	releaseAfter = 20 * time.Second
	// rejectionShare is the share of the rejections which a server bears that is aimed at. The rest
	// is for requests that are on their way when a rejection is reported.
	rejectionShare = 0.5
	// reservedShare is the share of these rejections for which permits are reserved ahead.
	reservedShare = 0.25
)

// room adapts the rate of requests to a brittle server, which falls over if it rejects too many, to
// the room that it has. After each rejection nothing is granted for a time, and less from then on;
// without further rejections the rate rises again. The zero value limits nothing.
type room struct {
	// rate is zero while it is not limited.
	rate        Rate
	adaptedAt   time.Time
	rejectedAt  time.Time
	pausedUntil time.Time
	// rejectedRate is the limited rate at which a request was last rejected; zero is unknown.
	rejectedRate Rate
	// recent is the rate of recent grants, as of measuredAt.
	recent     Rate
	measuredAt time.Time
}

// granted counts a grant.
func (r *room) granted(now time.Time) {
	r.measure(now)
	r.recent += Rate(1 / measureTime.Seconds())
}

// measure updates the rate of recent grants.
func (r *room) measure(now time.Time) {
	r.recent *= Rate(math.Exp(-max(now.Sub(r.measuredAt), 0).Seconds() / measureTime.Seconds()))
	r.measuredAt = now
}

// rejected records that the server rejected a request for lack of room. Rejections of requests that
// were granted before the pause began lower the rate only once.
func (r *room) rejected(now time.Time, maxRejections int) {
	if !now.Before(r.pausedUntil) {
		r.measure(now)

		before := r.recent
		if r.rate > 0 {
			before = min(r.rate, before)
			r.rejectedRate = before
		}

		r.rate, r.adaptedAt = max(before*decrease, minRoomRate), now
	}

	r.rejectedAt = now

	pause := time.Duration(float64(time.Second) / max(float64(maxRejections)*rejectionShare, 1))
	if until := now.Add(pause); until.After(r.pausedUntil) {
		r.pausedUntil = until
		// The rate rises from the end of the pause on, and grants are measured again.
		r.adaptedAt, r.measuredAt = until, until
	}
}

// current returns the rate, zero if it is not limited, and how long nothing is granted.
func (r *room) current(now time.Time) (Rate, time.Duration) {
	switch {
	case now.Before(r.pausedUntil):
		return r.rate, r.pausedUntil.Sub(now)
	case r.rate == 0:
		return 0, 0
	case now.Sub(r.rejectedAt) > releaseAfter:
		r.rate, r.rejectedRate = 0, 0

		return 0, 0
	}

	r.raise(now)

	return r.rate, 0
}

// raise raises the rate for the time since it was last adapted.
func (r *room) raise(now time.Time) {
	elapsed := max(now.Sub(r.adaptedAt), 0)
	r.adaptedAt = now
	r.measure(now)

	if r.rate > maxUnused*max(r.recent, minRoomRate) {
		return
	}

	increase := fastIncrease
	if r.rejectedRate > 0 && r.rate >= nearRejected*r.rejectedRate {
		increase = slowIncrease
	}

	r.rate *= Rate(1 + increase*elapsed.Seconds())
}
