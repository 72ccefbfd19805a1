package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a clock that is not moved by changes of the time of day, and that
// counts the time in which the machine was suspended. It starts at the time of
// day and goes on by CLOCK_BOOTTIME; Go's own monotonic clock stands still while
// the machine is suspended.
type Steady struct {
	start          time.Time
	startSinceBoot time.Duration
}

// NewSteady returns a clock that shows the time of day now.
func NewSteady() *Steady {
	return &Steady{start: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// Now returns the start of the clock plus what has passed since, suspension
// included. It has no monotonic reading, so that comparisons use this time alone.
func (s *Steady) Now() time.Time {
	return s.start.Add(sinceBoot() - s.startSinceBoot)
}

// After waits on the machine's clock.
func (s *Steady) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// sinceBoot reads CLOCK_BOOTTIME. Linux has had it for so long that a failure
// can only be a fault of the program.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}

	return time.Duration(ts.Nano())
}
