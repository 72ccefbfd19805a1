package scheduling

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// ResumePolicy is how an instance resumes sending to a server whose backoff is over. Without it
// all instances that the server rejected at the same moment would resume at the same moment, and
// overload the server again.
type ResumePolicy struct {
	// Jitter is the fraction of a backoff over which instances resume; each draws its own time.
	Jitter float64
	// HalfOpen sends one request at a time until the server has accepted one.
	HalfOpen bool
	// FinalDelay is for how long after the backoff a final request is not used as the trial,
	// unless no other server can take it.
	FinalDelay time.Duration
}

// DefaultResumePolicy is the policy of entry instances. Its jitter is too short for callers to
// notice, and its delay leaves a second in which a request that can go to another server becomes
// the trial.
var DefaultResumePolicy = ResumePolicy{Jitter: 0.2, HalfOpen: true, FinalDelay: time.Second}

// backoff is the latest backoff that a server requested. It is half-open from resumeAt until the
// server accepts a request.
type backoff struct {
	until    time.Time
	resumeAt time.Time
	policy   ResumePolicy
	// trial is set while a trial request is in flight.
	trial atomic.Bool
}

func newBackoff(until time.Time, duration time.Duration, policy ResumePolicy) *backoff {
	b := &backoff{until: until, resumeAt: until, policy: policy}
	if jitter := time.Duration(policy.Jitter * float64(duration)); jitter > 0 {
		b.resumeAt = until.Add(rand.N(jitter))
	}

	return b
}

// active reports whether the backoff still keeps all requests away.
func (b *backoff) active(now time.Time) bool { return b != nil && now.Before(b.resumeAt) }

// blocks reports whether a request has to wait for the end of the backoff, for a trial in flight
// or, if it is final, until FinalDelay has passed.
func (b *backoff) blocks(now time.Time, r *Request) bool {
	if b == nil {
		return false
	}

	if b.active(now) || b.trial.Load() {
		return true
	}

	return r.Final && !r.allowTrial && now.Before(b.resumeAt.Add(b.policy.FinalDelay))
}

// begin reports whether a request may be sent now, and makes it the trial of a half-open backoff.
func (b *backoff) begin(now time.Time) bool {
	if b == nil {
		return true
	}

	if b.active(now) {
		return false
	}

	return !b.policy.HalfOpen || b.trial.CompareAndSwap(false, true)
}
