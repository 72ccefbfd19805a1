package answer

import (
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Event is what a Relay is told.
type Event interface{ event() }

// Started says that an attempt is being sent to a backend server.
type Started struct {
	Attempt backend.AttemptID
	Server  fleet.InstanceID
}

// Token is one token of a stream. Attempt is the one that the stream's event
// names, which need not be the one that was asked for.
type Token struct {
	Attempt backend.AttemptID
	Offset  int
	Text    string
}

// Finished is the finish event of a stream. Offset counts the tokens of the
// whole answer.
type Finished struct {
	Attempt backend.AttemptID
	Offset  int
	Reason  string
	Usage   backend.Usage
}

// Broken says that an attempt was refused, or that its stream ended without
// the finish event.
type Broken struct {
	Attempt backend.AttemptID
	Err     error
}

// NoServer says that no backend server could be picked for an attempt.
type NoServer struct {
	Attempt backend.AttemptID
}

// LeavingNotice says that a backend server will be reclaimed at a time.
type LeavingNotice struct {
	Server fleet.InstanceID
	At     time.Time
}

// KVExported says that the KV cache of an attempt is held by Target.
type KVExported struct {
	Attempt backend.AttemptID
	Target  fleet.InstanceID
	KV      string
}

// ExportFailed says that the KV cache of an attempt was not exported.
type ExportFailed struct {
	Attempt backend.AttemptID
}

// CallerGone says that nobody waits for the answer any longer.
type CallerGone struct{}

// Tick says only that time has passed.
type Tick struct{}

func (Started) event()       {}
func (Token) event()         {}
func (Finished) event()      {}
func (Broken) event()        {}
func (NoServer) event()      {}
func (LeavingNotice) event() {}
func (KVExported) event()    {}
func (ExportFailed) event()  {}
func (CallerGone) event()    {}
func (Tick) event()          {}
