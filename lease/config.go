package lease

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Config holds the times of a lease. All processes of a deployment use the same
// drift, and the same flight or a longer one.
type Config struct {
	// Term is how long a grant lasts.
	Term time.Duration
	// RenewInterval is the time between two records of the holder.
	RenewInterval time.Duration
	// MaxDrift bounds how far the rate of a clock is off, as a share of one.
	MaxDrift float64
	// MaxOrderDelay is the longest time between the check of an order and its effect
	// in a process that is not paused.
	MaxOrderDelay time.Duration
	// MaxReadGap is the longest time between two reads to the end of the log after
	// which a successor starts its wait again. It keeps the holder in place
	// across an outage of the log.
	MaxReadGap time.Duration
	// SingleProcess tells that an instance never runs two processes at once: a new one
	// need not wait for the term of the one before it on its own instance.
	SingleProcess bool
	// Stagger spreads the candidates, so that they do not append all at once.
	Stagger time.Duration
}

// DefaultConfig returns times that suit one region.
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

// Validate tells whether the times fit each other.
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

// shortenForDrift is how long a holder may act by its own clock.
func (c Config) shortenForDrift(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 - c.MaxDrift))
}

// lengthenForDrift is how long a successor waits by its own clock.
func (c Config) lengthenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxDrift)) + time.Nanosecond
}
