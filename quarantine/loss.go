package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/register"
)

// Evidence says how much the end of a server speaks against a request that ran there.
type Evidence uint8

const (
	// Weak is that the request waited there, or that events of its answer had come.
	Weak Evidence = iota
	// Strong is that its answer had begun and nothing of it had come whole, or that it is of
	// a kind that does not show when it begins.
	Strong
)

// Loss is that one server ended under one request, or that this has turned out not to be
// the request's doing.
type Loss struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Request  Fingerprint
	Server   ServerKey
	Evidence Evidence
	// Cleared is set once the request was answered elsewhere.
	Cleared bool
	// AgeMs is how long ago the server ended, in milliseconds, when this was told.
	AgeMs uint32
}

// MaxLossBytes is what a loss takes in a message at most.
const MaxLossBytes = 27

// ServerKey names one start of a backend server.
type ServerKey uint64

func keyOf(s register.Process) ServerKey {
	return ServerKey(xxhash.Sum64String(s.String()))
}

func (l Loss) age() time.Duration { return time.Duration(l.AgeMs) * time.Millisecond }

// withAge returns the loss as it is told at a time.
func (l Loss) withAge(now, at time.Time) Loss {
	l.AgeMs = uint32(min(max(now.Sub(at), 0), suspectTTL).Milliseconds())

	return l
}
