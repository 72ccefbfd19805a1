package clock

import "time"

// System is the system clock.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time {
	return time.Now()
}

// After returns time.After.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
