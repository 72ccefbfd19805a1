package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// Notice announces that a server will be reclaimed at At.
type Notice struct {
	Server fleet.InstanceID
	Domain fleet.FailureDomain
	At     time.Time
}
