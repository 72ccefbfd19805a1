// Package resumption remembers which version of the server software began each stream, so that a
// stream which its caller resumes, at any instance, goes on at a server of that version.
//
// The version of a stream is that of the server that sent its first event. It never changes, so
// that a copy of a record can't be outdated, only missing. An instance that relays a first event
// sends the record to a few holders, which follow from the content of the request and lie in
// different failure domains. An instance that a caller returns to asks the holders. What nobody
// remembers is unknown, and must not be taken for any version.
//
// The first holder of a stream also passes its record to a Recorder, at one instance, which writes the
// records of all to a log. After a loss of all instances the holders restore them from there.
//
// Records belong to the content of a request, which includes its client account: no account learns
// of the streams of another one.
//
// # Usage
//
//	t := &resumption.Tracker{Clock: clk, Self: "entry-1", Holders: holders, Send: send, Ask: ask}
//	go t.Run(ctx)
//	t.Begun(stream, resumption.Origin{Service: "llm", Version: "v2"}, lifetime)
//	// The caller returns, here or at another instance:
//	origin, err := t.Origin(ctx, stream)
package resumption

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
)

var (
	// ErrUnknown means that no holder that replied remembers the stream.
	ErrUnknown = merry.Sentinel("version that began the stream is unknown")
	// ErrAmbiguous means that streams of the same request began at different versions, and that
	// the caller names none of them.
	ErrAmbiguous = merry.Sentinel("streams of the request began at different versions")
)

const (
	// Copies is the number of holders that remember a stream. It is known after a loss of all but
	// one of them.
	Copies = 3
	// MaxHolders is the number of instances that are asked for a stream: the holders, and those
	// that were next to them when the stream began, or are since.
	MaxHolders = 2 * Copies
)

// Attempt identifies an attempt of a caller among those of one request. Zero is no attempt.
type Attempt uint64

// AttemptOf returns the attempt with an ID, or zero if the ID is empty.
func AttemptOf(id string) Attempt {
	if id == "" {
		return 0
	}

	return Attempt(max(xxhash.Sum64String(id), 1))
}

// Stream identifies a stream.
type Stream struct {
	// Content identifies the request, and is the same for all attempts of its caller.
	Content quarantine.Fingerprint
	// Attempt is the attempt that brought the first event, or zero if the caller names none.
	Attempt Attempt
}

// Origin is the service and the version of the server that began a stream.
type Origin struct {
	Service fleet.Service
	Version fleet.Version
}

// Record tells a holder where a stream began.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Content  quarantine.Fingerprint
	Attempt  Attempt
	Service  fleet.Service
	Version  fleet.Version
	// LifetimeMs is for how long the stream may be resumed, in milliseconds.
	LifetimeMs uint32
}

// recordOverhead is the largest encoded size of a record without its service and version.
const recordOverhead = 30

// Bytes returns the largest encoded size of a record.
func (r Record) Bytes() int { return recordOverhead + len(r.Service) + len(r.Version) }

func recordOf(now time.Time, s Stream, o Origin, expires time.Time) Record {
	left := min(max(expires.Sub(now), 0), maxLifetime)

	return Record{Content: s.Content, Attempt: s.Attempt, Service: o.Service, Version: o.Version, LifetimeMs: uint32(left.Milliseconds())}
}

// Result is what a table knows of a stream.
type Result int

// The results.
const (
	// Unknown means that there is no record of the stream.
	Unknown Result = iota
	// Known means that the stream began at one version.
	Known
	// Ambiguous means that the records contradict each other.
	Ambiguous
	// Pending means that there is no record, but that some are still to be read from the log.
	Pending
)

// Query asks a holder where a stream began.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
	Content  quarantine.Fingerprint
	Attempt  Attempt
}

// Reply is the reply to a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number   uint64
	Result   Result
	Service  fleet.Service
	Version  fleet.Version
}
