package manifest

import "time"

const (
	// maxRemembered bounds the memory of idempotency keys.
	maxRemembered = 24 * time.Hour
	// retentionMargin is kept free at the end of the log's retention, for clocks
	// that differ.
	retentionMargin = 2 * time.Minute
)

// remembered returns how long idempotency keys are remembered: as long as the
// log allows. All instances must agree on it, or one might run again what
// another still remembers. So it follows the log's retention alone, and not the
// key windows, which say what callers can count on and may change at any time.
func remembered(logRetention time.Duration) time.Duration {
	return min(maxRemembered, logRetention-retentionMargin)
}

// KeysRememberedFor returns how long idempotency keys are remembered, which is
// at least as long as every key window.
func (m *Manifest) KeysRememberedFor() time.Duration {
	return remembered(m.LogRetention())
}
