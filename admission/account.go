package admission

import (
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// account is the state of one client account on this instance.
type account struct {
	name fleet.Account
	hash uint64

	limits      atomic.Pointer[limits]
	requestRate rateLimiter
	tokenRate   rateLimiter
	// running counts the requests that are queued or running.
	running atomic.Int64
	// nextStartAt is the earliest start of the account's next request, in Unix nanoseconds. It is
	// set only while the share is less than one concurrent request.
	nextStartAt atomic.Int64

	// offeredRequests, offeredTokens and peakConcurrency measure the demand since the last digest,
	// refused requests included.
	offeredRequests atomic.Int64
	offeredTokens   atomic.Int64
	peakConcurrency atomic.Int64

	demand demandEstimate
}

// limitCheck is the result of checking one request against its account's limits. The reason is
// NoReason if the request is within them.
type limitCheck struct {
	reason     Reason
	retryAfter time.Duration
}

func (a *account) acquire(now time.Time, r *Request) limitCheck {
	a.offeredRequests.Add(1)
	a.offeredTokens.Add(int64(r.Tokens))

	l := a.limits.Load()

	if wait, ok := a.acquireSlot(now, l); !ok {
		return limitCheck{reason: Concurrency, retryAfter: wait}
	}

	if l.config.RequestsPerSecond > 0 {
		if wait, ok := a.requestRate.take(now, 1, l.requestRate(), l.burst()); !ok {
			a.running.Add(-1)

			return limitCheck{reason: RequestRate, retryAfter: wait}
		}
	}

	if l.config.TokensPerSecond > 0 && r.Tokens > 0 {
		if wait, ok := a.tokenRate.take(now, float64(r.Tokens), l.tokenRate(), l.burst()); !ok {
			a.requestRate.refund(1, l.requestRate())
			a.running.Add(-1)

			return limitCheck{reason: TokenRate, retryAfter: wait}
		}
	}

	return limitCheck{}
}

// acquireSlot counts one more request in progress if the share allows it. Otherwise it returns the
// time until the next slot, or 0 if that is unknown.
func (a *account) acquireSlot(now time.Time, l *limits) (time.Duration, bool) {
	if l.config.Concurrent <= 0 {
		a.running.Add(1)

		return 0, true
	}

	share := l.concurrency()
	allowed := int64(max(share, 1))

	for {
		running := a.running.Load()

		if running >= allowed || share <= 0 {
			a.peakConcurrency.Store(max(a.peakConcurrency.Load(), running+1))

			return 0, false
		}

		if untilNext := a.nextStartAt.Load() - now.UnixNano(); share < 1 && untilNext > 0 {
			return time.Duration(untilNext), false
		}

		if a.running.CompareAndSwap(running, running+1) {
			return 0, true
		}
	}
}

// refund undoes acquire for a request that was refused afterwards.
func (a *account) refund(r *Request) {
	l := a.limits.Load()
	a.requestRate.refund(1, l.requestRate())
	a.tokenRate.refund(float64(r.Tokens), l.tokenRate())
	a.running.Add(-1)
}

// finish releases the slot of a request that ran, and corrects the token estimate.
func (a *account) finish(now time.Time, r *Request, o Outcome) {
	l := a.limits.Load()

	if o.Tokens > 0 {
		a.tokenRate.refund(float64(r.Tokens-o.Tokens), l.tokenRate())
	}

	// A share s < 1 of one concurrent request is enforced over time: the account may run a
	// request for the fraction s of the time.
	if share := l.concurrency(); share > 0 && share < 1 {
		idle := time.Duration(float64(o.Duration) * (1/share - 1))
		a.nextStartAt.Store(now.Add(idle).UnixNano())
	}

	a.running.Add(-1)
}

// rescale preserves the outstanding consumption of the rate limits when the share changes.
func (a *account) rescale(now time.Time, old, share float64) {
	if old <= 0 || share <= 0 {
		return
	}

	a.requestRate.rescale(now, share/old)
	a.tokenRate.rescale(now, share/old)
}
