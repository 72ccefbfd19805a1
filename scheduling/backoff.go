package scheduling

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// ResumePolicy says how an instance returns to a server whose backoff is over. All instances
// that it turned away at one moment would return at one moment, and find it overloaded again.
type ResumePolicy struct {
	// Jitter is the part of a backoff over which instances return, drawn by each for itself.
	Jitter float64
	// HalfOpen sends one request at a time until the server has taken one.
	HalfOpen bool
	// FinalDelay keeps requests that can't be sent to another server from being that one for some
	// time, as long as others can take them.
	FinalDelay time.Duration
}

// DefaultResumePolicy is the policy of entry instances: it spreads them over a part of the backoff
// that callers hardly notice, and leaves a second for a request that can go elsewhere.
var DefaultResumePolicy = ResumePolicy{Jitter: 0.2, HalfOpen: true, FinalDelay: time.Second}

// backoff is the newest time for which a server asked for no requests. It is half-open from
// returns on, until the server has taken a request.
type backoff struct {
	until    time.Time
	resumeAt time.Time
	policy   ResumePolicy
	// trial is set while a request is under way that shows whether the server takes some.
	trial atomic.Bool
}

func newBackoff(until time.Time, duration time.Duration, policy ResumePolicy) *backoff {
	b := &backoff{until: until, resumeAt: until, policy: policy}
	if jitter := time.Duration(policy.Jitter * float64(duration)); jitter > 0 {
		b.resumeAt = until.Add(rand.N(jitter))
	}

	return b
}

// active reports whether no request is sent now.
func (b *backoff) active(now time.Time) bool { return b != nil && now.Before(b.resumeAt) }

// blocks reports whether a request that may be sent to other servers waits for a trial, or
// for the end of the backoff.
func (b *backoff) blocks(now time.Time, r *Request) bool {
	if b == nil {
		return false
	}

	if b.active(now) || b.trial.Load() {
		return true
	}

	return r.Final && !r.allowTrial && now.Before(b.resumeAt.Add(b.policy.FinalDelay))
}

// begin counts a request that is sent, and reports whether it may be.
func (b *backoff) begin(now time.Time) bool {
	if b == nil {
		return true
	}

	if b.active(now) {
		return false
	}

	return !b.policy.HalfOpen || b.trial.CompareAndSwap(false, true)
}
