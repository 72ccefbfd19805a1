package claim

import "time"

// Verdict is the final result of an attempt.
type Verdict struct {
	run        RunState
	reason     Reason
	result     Result
	bodyStored bool
	retryAfter time.Duration
}

// Run returns what is known about the execution of the request.
func (v Verdict) Run() RunState { return v.run }

// Reason returns why the verdict isn't Ran.
func (v Verdict) Reason() Reason { return v.reason }

// Result returns the service's response if Run is Ran.
func (v Verdict) Result() Result { return v.result }

// BodyStored reports whether Result contains the body. A response body that is too large
// for the log is not stored; Result then has only the status and the header fields.
func (v Verdict) BodyStored() bool { return v.bodyStored }

// RetryAfter returns the delay after which a retry with the same key may succeed, or zero
// if it won't.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

func verdictWithoutResult(run RunState, reason Reason, retryAfter time.Duration) Verdict {
	return Verdict{run: run, reason: reason, retryAfter: retryAfter}
}
