package claim

import (
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
)

// The defaults of a Config.
const (
	DefaultWindow      = time.Hour
	DefaultMaxWait     = 2 * time.Minute
	DefaultClaimWait   = 2 * time.Second
	DefaultVoidHold    = time.Second
	DefaultMaxSkew     = 30 * time.Second
	DefaultKeepBody    = 4 << 10
	DefaultMaxOpen     = 10_000
	DefaultRetryAfter  = time.Second
	DefaultOutageRetry = 5 * time.Second
)

// Config holds the settings of a Table. Zero fields take their defaults. All
// entry instances must have the same Window.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	// Window is how long a key is remembered after its last record.
	Window time.Duration
	// MaxWait bounds the deadline of an attempt. It is less than half of Window.
	MaxWait time.Duration
	// ClaimWait is how long an attempt waits for its claim to be on the log.
	ClaimWait time.Duration
	// VoidHold is how long after a void no attempt with the key is admitted, so
	// that the claimant can say NotRun before another attempt may run.
	VoidHold time.Duration
	// MaxSkew bounds the difference between clocks of callers, entry instances
	// and the log.
	MaxSkew time.Duration
	// KeepBody is the size of the largest body that is kept with its outcome.
	KeepBody int
	// MaxOpen bounds the attempts held in memory.
	MaxOpen int
	// RetryAfter is told where asking again soon helps, OutageRetry while the
	// log is down.
	RetryAfter  time.Duration
	OutageRetry time.Duration
}

func orElse[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}

	return value
}

func (c Config) withDefaults() Config {
	c.Window = orElse(c.Window, DefaultWindow)
	c.MaxWait = orElse(c.MaxWait, DefaultMaxWait)
	c.ClaimWait = orElse(c.ClaimWait, DefaultClaimWait)
	c.VoidHold = orElse(c.VoidHold, DefaultVoidHold)
	c.MaxSkew = orElse(c.MaxSkew, DefaultMaxSkew)
	c.KeepBody = orElse(c.KeepBody, DefaultKeepBody)
	c.MaxOpen = orElse(c.MaxOpen, DefaultMaxOpen)
	c.RetryAfter = orElse(c.RetryAfter, DefaultRetryAfter)
	c.OutageRetry = orElse(c.OutageRetry, DefaultOutageRetry)

	return c
}

// Check returns an error if keys would be forgotten while attempts with them
// may still be sent, or if the log keeps records for less than the window.
func (c Config) Check(retention time.Duration) error {
	c = c.withDefaults()

	if c.Window <= 2*(c.MaxWait+c.MaxSkew) {
		return merry.Errorf("check claim window: %v is not more than twice the longest wait and skew, %v",
			c.Window, 2*(c.MaxWait+c.MaxSkew))
	}

	if retention < c.Window+4*c.MaxSkew {
		return merry.Errorf("check claim window: the log's retention of %v is less than the window of %v and four times the skew",
			retention, c.Window)
	}

	return nil
}
