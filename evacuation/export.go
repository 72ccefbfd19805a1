package evacuation

import (
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Export is one planned copy of a KV cache. The copies from one server run
// one after another: two concurrent copies would each take twice as long, and a
// copy that the reclaim interrupts is useless.
type Export struct {
	Attempt backend.AttemptID
	Target  fleet.InstanceID
	Start   time.Time
	Done    time.Time
}
