package evacuation

import (
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Export is one planned copy of a KV cache. Those of one server follow one
// another: two copies at once would each take twice as long, and the one that
// is cut off is of no use.
type Export struct {
	Attempt backend.AttemptID
	Target  fleet.InstanceID
	Start   time.Time
	Done    time.Time
}
