package daemon

import (
	"monsoonlever/answer"
	"monsoonlever/fleet"
)

// noPeers sends nothing: an instance without keys has no peers.
type noPeers struct{}

var _ answer.Sender = noPeers{}

// Send does nothing.
func (noPeers) Send(fleet.InstanceID, *answer.Batch) {}
