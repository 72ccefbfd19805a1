package lease

import "errors"

// ErrNotHeld means that this process does not hold the role, or that its term has expired.
var ErrNotHeld = errors.New("lease is not held")
