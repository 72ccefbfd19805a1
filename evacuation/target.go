package evacuation

import "monsoonlever/fleet"

// Target is a server that could take KV caches.
type Target struct {
	Server fleet.InstanceID
	Domain fleet.FailureDomain
	Model  fleet.Model
	// Room is how many more tokens its cache can take.
	Room int
}
