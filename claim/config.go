package claim

import (
	"cmp"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
)

// Default values of Config.
const (
	DefaultWindow           = time.Hour
	DefaultMaxTimeout       = 2 * time.Minute
	DefaultClaimTimeout     = 2 * time.Second
	DefaultVoidCooldown     = time.Second
	DefaultMaxSkew          = 30 * time.Second
	DefaultMaxStoredBody    = 4 << 10
	DefaultMaxOpenAttempts  = 10_000
	DefaultRetryAfter       = time.Second
	DefaultOutageRetryAfter = 5 * time.Second
)

// Config holds the settings of a Table. Zero fields take their defaults. All entry
// instances must have the same Window.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	// Window is how long a key is retained after its last record on the log.
	Window time.Duration
	// MaxTimeout bounds the time from the submission of an attempt to its deadline. It must
	// be less than half of Window.
	MaxTimeout time.Duration
	// ClaimTimeout is how long an attempt waits until its claim is read back from the log.
	ClaimTimeout time.Duration
	// VoidCooldown is how long new attempts with a key are rejected after a void, so that
	// the claimant can return NotRun before another attempt may run.
	VoidCooldown time.Duration
	// MaxSkew bounds the clock differences between callers, entry instances and the log.
	MaxSkew time.Duration
	// MaxStoredBody is the size in bytes of the largest response body that is stored with
	// an outcome.
	MaxStoredBody int
	// MaxOpenAttempts bounds the number of attempts in memory.
	MaxOpenAttempts int
	// RetryAfter is the retry delay returned to callers when a retry may succeed soon,
	// OutageRetryAfter the one while the log is unavailable.
	RetryAfter       time.Duration
	OutageRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.MaxTimeout = cmp.Or(c.MaxTimeout, DefaultMaxTimeout)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, DefaultClaimTimeout)
	c.VoidCooldown = cmp.Or(c.VoidCooldown, DefaultVoidCooldown)
	c.MaxSkew = cmp.Or(c.MaxSkew, DefaultMaxSkew)
	c.MaxStoredBody = cmp.Or(c.MaxStoredBody, DefaultMaxStoredBody)
	c.MaxOpenAttempts = cmp.Or(c.MaxOpenAttempts, DefaultMaxOpenAttempts)
	c.RetryAfter = cmp.Or(c.RetryAfter, DefaultRetryAfter)
	c.OutageRetryAfter = cmp.Or(c.OutageRetryAfter, DefaultOutageRetryAfter)

	return c
}

// Check returns an error if a key could expire while an attempt with it may still be
// dispatched, or if the log's retention is too short for the window.
func (c Config) Check(retention time.Duration) error {
	c = c.withDefaults()

	if c.Window <= 2*(c.MaxTimeout+c.MaxSkew) {
		return merry.Errorf("check claim window: window of %v must be longer than %v, twice the sum of maximum timeout and clock skew",
			c.Window, 2*(c.MaxTimeout+c.MaxSkew))
	}

	if retention < c.Window+4*c.MaxSkew {
		return merry.Errorf("check claim window: log retention of %v is shorter than the window of %v plus four times the clock skew",
			retention, c.Window)
	}

	return nil
}
