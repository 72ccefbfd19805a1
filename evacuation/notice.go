package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// Notice says that a server will be reclaimed at a time.
type Notice struct {
	Server fleet.InstanceID
	Domain fleet.FailureDomain
	At     time.Time
}
