package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Command is what a Table wants done: Append, Dispatch or Answer.
type Command interface{ command() }

// Append puts a record of a request on the log. If the append ends without
// taking effect, AppendFailed must be called.
type Append struct {
	kind    logstream.Kind
	attempt AttemptID
	payload []byte
}

// Kind returns KindClaim, KindOutcome or KindVoid.
func (c Append) Kind() logstream.Kind { return c.kind }

// Attempt returns the attempt whose record it is.
func (c Append) Attempt() AttemptID { return c.attempt }

// Payload returns the encoded record.
func (c Append) Payload() []byte { return c.payload }

// Dispatch sends a request to a backend server, if its deadline has not
// passed. Its end must be told by Done, Declined or Broken.
type Dispatch struct {
	attempt  AttemptID
	deadline time.Time
}

// Attempt returns the attempt to send.
func (c Dispatch) Attempt() AttemptID { return c.attempt }

// Deadline returns the time after which it must not be sent any more.
func (c Dispatch) Deadline() time.Time { return c.deadline }

// Resolve gives an attempt its final verdict.
type Resolve struct {
	attempt AttemptID
	verdict Verdict
}

// Attempt returns the attempt that is answered.
func (c Resolve) Attempt() AttemptID { return c.attempt }

// Verdict returns its final verdict.
func (c Resolve) Verdict() Verdict { return c.verdict }

func (Append) command()   {}
func (Dispatch) command() {}
func (Resolve) command()  {}
