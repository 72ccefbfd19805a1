package claim

import "time"

// Refused returns the verdict on an attempt that was rejected before it reached a Table.
func Refused(reason Reason, retryAfter time.Duration) Verdict {
	return verdictWithoutResult(NotStarted, reason, retryAfter)
}
