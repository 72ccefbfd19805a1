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
	request RequestID
	payload []byte
}

// Kind returns KindClaim, KindOutcome or KindVoid.
func (c Append) Kind() logstream.Kind { return c.kind }

// Request returns the attempt whose record it is.
func (c Append) Request() RequestID { return c.request }

// Payload returns the encoded record.
func (c Append) Payload() []byte { return c.payload }

// Dispatch sends a request to a backend server, if its deadline has not
// passed. Its end must be told by Done, Declined or Broken.
type Dispatch struct {
	request  RequestID
	deadline time.Time
}

// Request returns the attempt to send.
func (c Dispatch) Request() RequestID { return c.request }

// Deadline returns the time after which it must not be sent any more.
func (c Dispatch) Deadline() time.Time { return c.deadline }

// Answer gives an attempt its final verdict.
type Answer struct {
	request RequestID
	verdict Verdict
}

// Request returns the attempt that is answered.
func (c Answer) Request() RequestID { return c.request }

// Verdict returns its final verdict.
func (c Answer) Verdict() Verdict { return c.verdict }

func (Append) command()   {}
func (Dispatch) command() {}
func (Answer) command()   {}
