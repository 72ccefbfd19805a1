package claim

import (
	"cmp"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
)

// The defaults of a Config.
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

// Config holds the settings of a Table. Zero fields take their defaults. All
// entry instances must have the same Window.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	// Window is how long a key is remembered after its last record.
	Window time.Duration
	// MaxTimeout bounds the deadline of an attempt. It is less than half of Window.
	MaxTimeout time.Duration
	// ClaimTimeout is how long an attempt waits for its claim to be on the log.
	ClaimTimeout time.Duration
	// VoidCooldown is how long after a void no attempt with the key is admitted, so
	// that the claimant can say NotRun before another attempt may run.
	VoidCooldown time.Duration
	// MaxSkew bounds the difference between clocks of callers, entry instances
	// and the log.
	MaxSkew time.Duration
	// MaxStoredBody is the size of the largest body that is kept with its outcome.
	MaxStoredBody int
	// MaxOpenAttempts bounds the attempts held in memory.
	MaxOpenAttempts int
	// RetryAfter is told where asking again soon helps, OutageRetry while the
	// log is down.
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

// Check returns an error if keys would be forgotten while attempts with them
// may still be sent, or if the log keeps records for less than the window.
func (c Config) Check(retention time.Duration) error {
	c = c.withDefaults()

	if c.Window <= 2*(c.MaxTimeout+c.MaxSkew) {
		return merry.Errorf("check claim window: %v is not more than twice the longest wait and skew, %v",
			c.Window, 2*(c.MaxTimeout+c.MaxSkew))
	}

	if retention < c.Window+4*c.MaxSkew {
		return merry.Errorf("check claim window: the log's retention of %v is less than the window of %v and four times the skew",
			retention, c.Window)
	}

	return nil
}
