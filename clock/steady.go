package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a clock that ignores changes of the system time and includes the time in which the
// machine is suspended. It starts at the system time and advances with CLOCK_BOOTTIME, since
// Go's monotonic clock stops while the machine is suspended.
type Steady struct {
	start time.Time
	// startSinceBoot is the reading of CLOCK_BOOTTIME at start.
	startSinceBoot time.Duration
}

// NewSteady returns a clock that starts at the system time.
func NewSteady() *Steady {
	return &Steady{start: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// Now returns the start time plus the time since then, including suspension. The result has no
// monotonic reading, so that comparisons do not use Go's monotonic clock.
func (s *Steady) Now() time.Time {
	return s.start.Add(sinceBoot() - s.startSinceBoot)
}

// After uses time.After, whose timer stops while the machine is suspended.
func (s *Steady) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// sinceBoot reads CLOCK_BOOTTIME. It panics on an error, since every supported Linux kernel has
// this clock.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}

	return time.Duration(ts.Nano())
}
