package claim

import "time"

// Verdict is the final answer to an attempt.
type Verdict struct {
	run        Run
	reason     Reason
	result     Result
	kept       bool
	retryAfter time.Duration
}

// Run tells whether the request ran.
func (v Verdict) Run() Run { return v.run }

// Reason tells why the verdict isn't Ran.
func (v Verdict) Reason() Reason { return v.reason }

// Result returns the service's answer, if Run is Ran.
func (v Verdict) Result() Result { return v.result }

// BodyStored tells whether Result holds the body. An answer that was too large to be
// kept on the log has its status only.
func (v Verdict) BodyStored() bool { return v.kept }

// RetryAfter returns when asking again with the same key may bring more, or
// zero if it won't.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

func refusal(run Run, reason Reason, retryAfter time.Duration) Verdict {
	return Verdict{run: run, reason: reason, retryAfter: retryAfter}
}
