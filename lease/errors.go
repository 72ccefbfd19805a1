package lease

import "errors"

// ErrNotHeld is wrapped when a process may not act for a role.
var ErrNotHeld = errors.New("lease is not held")
