package entry

import (
	"monsoonlever/replica"
	"monsoonlever/settings"
)

// Shares of an instance's file descriptors. The rest is for files, the store and the cloud API.
const (
	callerShare    = 0.42
	serverShare    = 0.3
	peerShare      = 0.15
	readinessShare = 0.03
	operatorShare  = 0.03
)

// callerMemory is the memory in bytes of a caller's connection without a request, and
// callerMemoryShare the share of an instance's memory that all of them may take.
const (
	callerMemory      = 32 << 10
	callerMemoryShare = 0.25
)

// maxCallers returns the largest number of callers' connections.
func maxCallers(limits settings.MachineLimits) int {
	byMemory := int(float64(limits.MemoryBytes()) * callerMemoryShare / callerMemory)

	return min(descriptors(limits, callerShare), byMemory)
}

// maxPeers returns the largest number of connections from other instances.
func maxPeers(limits settings.MachineLimits) int {
	return min(descriptors(limits, peerShare), replica.DefaultMaxConnections)
}

// descriptors returns a share of an instance's file descriptors, one at least.
func descriptors(limits settings.MachineLimits, share float64) int {
	return max(int(limits.FileDescriptors*share), 1)
}
