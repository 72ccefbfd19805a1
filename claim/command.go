package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Command is an action that a Table requests: Append, Dispatch or Resolve.
type Command interface{ command() }

// Append appends a record of an attempt to the log. If the append ends without
// confirmation, Table.AppendFailed must be called.
type Append struct {
	kind    logstream.Kind
	attempt AttemptID
	payload []byte
}

// Kind returns KindClaim, KindOutcome or KindVoid.
func (c Append) Kind() logstream.Kind { return c.kind }

// Attempt returns the attempt that the record belongs to.
func (c Append) Attempt() AttemptID { return c.attempt }

// Payload returns the encoded record.
func (c Append) Payload() []byte { return c.payload }

// Dispatch sends the call of an attempt to a backend server, unless the deadline has
// passed. The result must be reported by Table.Completed, Table.Declined or Table.Broken.
type Dispatch struct {
	attempt  AttemptID
	deadline time.Time
}

// Attempt returns the attempt whose call is sent.
func (c Dispatch) Attempt() AttemptID { return c.attempt }

// Deadline returns the deadline of the attempt. The call must be sent before it or not at
// all.
func (c Dispatch) Deadline() time.Time { return c.deadline }

// Resolve returns the final verdict to the caller of an attempt.
type Resolve struct {
	attempt AttemptID
	verdict Verdict
}

// Attempt returns the attempt that is resolved.
func (c Resolve) Attempt() AttemptID { return c.attempt }

// Verdict returns the final verdict on the attempt.
func (c Resolve) Verdict() Verdict { return c.verdict }

func (Append) command()   {}
func (Dispatch) command() {}
func (Resolve) command()  {}
