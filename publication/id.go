package publication

import "github.com/google/uuid"

// ID names one publication or fence, unique among all operators.
type ID string

// NewID returns an id that no other publication has.
func NewID() ID {
	return ID(uuid.NewString())
}
