package claim

import "time"

// Refused returns the verdict on an attempt that was not taken at all.
func Refused(reason Reason, retryAfter time.Duration) Verdict {
	return verdictWithoutResult(NotStarted, reason, retryAfter)
}
