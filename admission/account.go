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

	limits   atomic.Pointer[limits]
	requests pacer
	tokens   pacer
	// running counts requests that are queued or run.
	running atomic.Int64
	// restUntil is when an account whose share is less than one request may
	// start the next, in Unix nanoseconds.
	restUntil atomic.Int64

	// offered and offeredTokens count demand since the last digest.
	offered       atomic.Int64
	offeredTokens atomic.Int64
	offeredPeak   atomic.Int64

	demand demand
}

// charge is what was taken from an account's limits for one request.
type charge struct {
	reason Reason
	wait   time.Duration
}

func (a *account) take(now time.Time, r *Request) charge {
	a.offered.Add(1)
	a.offeredTokens.Add(int64(r.Tokens))

	l := a.limits.Load()

	if wait, ok := a.start(now, l); !ok {
		return charge{reason: Concurrency, wait: wait}
	}

	if l.account.RequestsPerSecond > 0 {
		if wait, ok := a.requests.take(now, 1, l.requests(), l.burst()); !ok {
			a.running.Add(-1)

			return charge{reason: RequestRate, wait: wait}
		}
	}

	if l.account.TokensPerSecond > 0 && r.Tokens > 0 {
		if wait, ok := a.tokens.take(now, float64(r.Tokens), l.tokens(), l.burst()); !ok {
			a.requests.give(1, l.requests())
			a.running.Add(-1)

			return charge{reason: TokenRate, wait: wait}
		}
	}

	return charge{}
}

// start counts one more request in progress, if the share allows it.
func (a *account) start(now time.Time, l *limits) (time.Duration, bool) {
	if l.account.Concurrent <= 0 {
		a.running.Add(1)

		return 0, true
	}

	share := l.concurrent()
	allowed := int64(max(share, 1))

	for {
		running := a.running.Load()

		if running >= allowed || share <= 0 {
			a.offeredPeak.Store(max(a.offeredPeak.Load(), running+1))

			return 0, false
		}

		if rest := a.restUntil.Load() - now.UnixNano(); share < 1 && rest > 0 {
			return time.Duration(rest), false
		}

		if a.running.CompareAndSwap(running, running+1) {
			return 0, true
		}
	}
}

// giveBack undoes take for a request that was refused after all.
func (a *account) giveBack(r *Request) {
	l := a.limits.Load()
	a.requests.give(1, l.requests())
	a.tokens.give(float64(r.Tokens), l.tokens())
	a.running.Add(-1)
}

// finish ends a request that ran.
func (a *account) finish(now time.Time, r *Request, o Outcome) {
	l := a.limits.Load()

	if o.Tokens > 0 {
		a.tokens.give(float64(r.Tokens-o.Tokens), l.tokens())
	}

	// A share s of one request at a time is held as s of the time.
	if share := l.concurrent(); share > 0 && share < 1 {
		rest := time.Duration(float64(o.Duration) * (1/share - 1))
		a.restUntil.Store(now.Add(rest).UnixNano())
	}

	a.running.Add(-1)
}

// rescale keeps what is owed of rate limits when the share of them changes.
func (a *account) rescale(now time.Time, old, share float64) {
	if old <= 0 || share <= 0 {
		return
	}

	a.requests.rescale(now, share/old)
	a.tokens.rescale(now, share/old)
}
