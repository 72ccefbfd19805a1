package clock

import "time"

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time {
	return time.Now()
}

// After waits on the machine's clock.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
