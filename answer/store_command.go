package answer

import "monsoonlever/fleet"

// StoreCommand is what a Store wants done.
type StoreCommand interface{ storeCommand() }

// Send passes a batch to a peer.
type Send struct {
	To    fleet.InstanceID
	Batch *Batch
}

// Accepted says that a copy in another failure domain holds the request.
type Accepted struct {
	ID RequestID
}

// Visible says that there is more to read of an answer.
type Visible struct {
	ID RequestID
}

// Continue asks that this instance go on with an answer, after the kept tokens.
type Continue struct {
	Request Request
	Epoch   Epoch
	Kept    []string
}

// Stop says that this instance owns a request no longer: its attempt is to be
// cancelled, and its callers go on reading from the new owner.
type Stop struct {
	ID    RequestID
	Epoch Epoch
}

// FetchReply passes on what another instance holds of an answer.
type FetchReply struct {
	From    fleet.InstanceID
	Fetched Fetched
}

// FollowedElsewhere says that a caller reads an answer of this owner at another
// instance.
type FollowedElsewhere struct {
	ID RequestID
}

func (Send) storeCommand()       {}
func (Accepted) storeCommand()   {}
func (Visible) storeCommand()    {}
func (Continue) storeCommand()   {}
func (Stop) storeCommand()       {}
func (FetchReply) storeCommand() {}

func (FollowedElsewhere) storeCommand() {}
