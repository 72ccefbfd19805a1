package evacuation

import "monsoonlever/fleet"

// Target is a server that can receive KV caches.
type Target struct {
	Server fleet.InstanceID
	Domain fleet.FailureDomain
	Model  fleet.Model
	// Room is the number of tokens for which its cache has space.
	Room int
}
