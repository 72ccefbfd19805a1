package answer

import (
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Command is what a Relay wants done.
type Command interface{ command() }

// Dispatch asks for an attempt that continues after the Generated tokens.
type Dispatch struct {
	Attempt   backend.AttemptID
	Exclude   []fleet.InstanceID
	Generated []string
	// KV names the KV cache that Prefer holds. It is of no use on any other
	// server.
	KV     string
	Prefer fleet.InstanceID
}

// Forward passes one token on to the caller. A pointer to it is the command, so
// that a Relay needs no new one for each token; it is valid until the next step.
type Forward struct {
	Offset int
	Token  string
}

// Cancel stops an attempt of which nothing more is wanted.
type Cancel struct {
	Attempt backend.AttemptID
}

// ExportKV asks that the KV cache of an attempt leave Server before By.
type ExportKV struct {
	Attempt backend.AttemptID
	Server  fleet.InstanceID
	Tokens  int
	By      time.Time
}

// Complete ends the request: every token has been forwarded.
type Complete struct {
	Reason string
	Tokens int
	Usage  backend.Usage
}

// GiveUp ends the request with a refusal, which the caller is told at once.
type GiveUp struct {
	Reason     Reason        `msgpack:"reason"`
	Ran        RanState      `msgpack:"ran"`
	RetryAfter time.Duration `msgpack:"retryAfter"`
}

func (Dispatch) command() {}
func (*Forward) command() {}
func (Cancel) command()   {}
func (ExportKV) command() {}
func (Complete) command() {}
func (GiveUp) command()   {}
