// Package detour has another entry instance send a caller's request to the backend servers, for
// an instance that has lost its own network paths to them.
//
// Each request takes a TCP connection of its own between the two instances, so that a slow
// caller or a large body delays no other request. The helping instance first says whether it
// can take the request; only after that does the other one confirm it. A request that was not
// confirmed has not run, whatever happens to the connection. One that was confirmed runs under
// the rules, limits and announcements that the helping instance knows, which also sends it a
// second time or resumes its stream if necessary. It never passes the request on to a third
// instance. If either end closes the connection, the request is cancelled.
//
// Helpers keeps the instances that may help, and chooses among them.
//
// # Usage
//
//	client := &detour.Client{Clock: clk, Helpers: helpers, Dialer: dialer}
//	result, err := client.Serve(ctx, request, sink)
//
//	server := &detour.Server{Clock: clk, Prepare: forwarder.PrepareDetour}
//	server.Handle(ctx, conn, reader)
package detour

import (
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/forward"
)

var (
	// ErrBroken means that the connection to the helping instance ended before the result, after
	// the request was confirmed.
	ErrBroken = merry.Sentinel("connection to the helping instance broke")
	// ErrFrame means that the other instance sent a malformed message.
	ErrFrame = merry.Sentinel("detour frame is malformed")
)

// Preface is what a connection for a detour begins with. No other protocol between instances
// begins with these bytes. They differ from those of programs that know no server versions, which
// would send the rest of a stream to any version.
const Preface = "DTR2"

// offer is the request as the instance that received it describes it to the helping instance.
type offer struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From        fleet.InstanceID
	ID          string
	Method      string
	Host        string
	Target      string
	Path        string
	Header      map[string][]string
	Body        []byte
	APIKey      string
	ResumeAfter string
	Resumes     string
	// Version is the server version at which alone a stream may go on, or empty.
	Version      fleet.Version
	Service      fleet.Service
	RulesVersion uint64
	Attempts     int
	// Tokens, MaxOutputTokens and the segments are the prompt.
	Tokens, MaxOutputTokens int
	SegmentIDs              []string
	SegmentTokens           []int
	// Elapsed is the time since the request was received, and Timeout how long its caller waits
	// from then on.
	Elapsed, Timeout          time.Duration
	StreamBegun, UsageCounted bool
}

// frameKind is the kind of a frame that a helping instance sends.
type frameKind int

const (
	// frameReady offers to serve the request, once it is confirmed.
	frameReady frameKind = iota
	// frameResponse is a whole response.
	frameResponse
	// frameBegin is the header of a stream, and frameEvent one event of it.
	frameBegin
	frameEvent
	// frameResult ends the connection.
	frameResult
)

// frame is one message of a helping instance.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Kind     frameKind
	Status   int
	Header   map[string][]string
	Data     []byte
	// Version is the version of the server that began a stream, with frameBegin.
	Version fleet.Version
	Result  *result
}

// result is how the request ended at the helping instance.
type result struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// Refused is set if the helping instance has no response of a backend server.
	Refused      bool
	Reason       forward.Reason
	NotRun       bool
	RetryAfter   time.Duration
	Cause        string
	Servers      []string
	MayHaveRun   bool
	UsageCounted bool
}
