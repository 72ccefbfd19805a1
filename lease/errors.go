package lease

import "errors"

// ErrNotHeld means that this process does not hold the role, or that its term is over.
var ErrNotHeld = errors.New("lease is not held")
