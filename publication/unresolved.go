package publication

import (
	"fmt"

	"monsoonlever/provider"
)

// Unresolved is the error of a publication that may take effect yet or has
// already. Resolve learns which, and rules out the first.
type Unresolved struct {
	id    ID
	base  provider.Offset
	gone  bool
	cause error
}

// ID returns the id of the publication.
func (u *Unresolved) ID() ID { return u.id }

// Base returns the version that it was derived from last.
func (u *Unresolved) Base() provider.Offset { return u.base }

// Gone tells whether the records that would tell are no longer kept. Then the
// publication can have no effect any more, but it may have had one.
func (u *Unresolved) Gone() bool { return u.gone }

// Error tells what is unknown.
func (u *Unresolved) Error() string {
	if u.gone {
		return fmt.Sprintf("unknown whether publication %s took effect: the log no longer keeps the records", u.id)
	}

	return fmt.Sprintf("unknown whether publication %s derived from version %d takes effect: %v", u.id, u.base, u.cause)
}

// Unwrap returns the cause.
func (u *Unresolved) Unwrap() error { return u.cause }
