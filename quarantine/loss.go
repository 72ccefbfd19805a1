package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/register"
)

// Loss is that one server ended under one request, or that this has turned out not to be
// the request's doing.
type Loss struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Request  Fingerprint
	Server   ServerKey
	// Cleared is set once the request was answered elsewhere.
	Cleared bool
	// AgeMs is how long ago the server ended, in milliseconds, when this was told.
	AgeMs uint32
}

// LossBytes is what a loss takes in a message at most.
const LossBytes = 26

// ServerKey names one start of a backend server.
type ServerKey uint64

func keyOf(s register.Start) ServerKey {
	return ServerKey(xxhash.Sum64String(string(s.ID) + " " + strconv.FormatUint(uint64(s.Incarnation), 10)))
}

func (l Loss) ago() time.Duration { return time.Duration(l.AgeMs) * time.Millisecond }

// aged returns the loss as it is told at a time.
func (l Loss) aged(now, at time.Time) Loss {
	l.AgeMs = uint32(min(max(now.Sub(at), 0), kept).Milliseconds())

	return l
}
