package lease

import (
	"fmt"

	"monsoonlever/fleet"
)

// Holder identifies one incarnation of a process. A restarted process is another holder.
type Holder struct {
	Instance    fleet.InstanceID  `msgpack:"instance"`
	Incarnation fleet.Incarnation `msgpack:"incarnation"`
}

// String returns the holder as instance/incarnation.
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d", h.Instance, h.Incarnation)
}
