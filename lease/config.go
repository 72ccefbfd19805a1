package lease

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Config holds the timing parameters of a lease. All processes of a deployment use the same
// MaxDrift. The MaxOrderDelay of a successor is at least that of the holder, since the
// successor waits by its own value.
type Config struct {
	// Term is the duration of a grant.
	Term time.Duration
	// RenewInterval is the time between two renewals, and between two attempts to acquire.
	RenewInterval time.Duration
	// MaxDrift is the largest error of a clock's rate, as a fraction: 0.001 is 1 ms per second.
	MaxDrift float64
	// MaxOrderDelay is the longest time from Core.Check to the effect of the order that
	// follows it, in a process that is not paused.
	MaxOrderDelay time.Duration
	// MaxReadGap is the longest time between two reads that reach the end of the log. After a
	// longer gap a successor restarts its wait, so that the holder can renew after an outage
	// of the log and keeps the role.
	MaxReadGap time.Duration
	// SingleProcess guarantees that an instance never runs two processes at the same time, so
	// that a new process need not wait for the term of its predecessor on the same instance.
	SingleProcess bool
	// Stagger is the upper bound of a candidate's extra wait, which keeps candidates from
	// appending at the same time.
	Stagger time.Duration
}

// DefaultConfig returns the timing parameters for a deployment in one region.
func DefaultConfig() Config {
	return Config{
		Term:          9 * time.Second,
		RenewInterval: 3 * time.Second,
		MaxDrift:      0.001,
		MaxOrderDelay: 2 * time.Second,
		MaxReadGap:    3 * time.Second,
		Stagger:       2 * time.Second,
	}
}

// Validate returns an error if a parameter is out of range or the term is too short for two
// renewals.
func (c Config) Validate() error {
	if c.Term <= 0 || c.RenewInterval <= 0 || c.MaxOrderDelay < 0 || c.MaxReadGap <= 0 || c.Stagger < 0 {
		return merry.New("lease times must be positive")
	}

	if c.MaxDrift < 0 || c.MaxDrift >= 0.1 {
		return merry.New("lease drift must be at least 0 and below 0.1")
	}

	if 2*c.RenewInterval > c.Term {
		return merry.New("lease must be renewed at least twice a term")
	}

	return nil
}

// shortenForDrift returns how long a holder may use a term as measured by its own clock, which
// may run slow.
func (c Config) shortenForDrift(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 - c.MaxDrift))
}

// lengthenForDrift returns how long a successor waits as measured by its own clock, which may
// run fast.
func (c Config) lengthenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxDrift)) + time.Nanosecond
}
