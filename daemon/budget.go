package daemon

import "time"

// unlimited is a retry budget without a bound.
type unlimited struct{}

// Take always allows a retry.
func (unlimited) Take(time.Time) bool {
	return true
}
