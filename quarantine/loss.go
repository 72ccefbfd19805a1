package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/register"
)

// Evidence is how strongly a server loss counts against a request that ran on the server.
type Evidence uint8

const (
	// Weak means that the request was still waiting on the server, or that events of its
	// answer had arrived.
	Weak Evidence = iota
	// Strong means that the answer had begun and none of its events had arrived completely, or
	// that the request is of a kind whose begin is not visible.
	Strong
)

// Loss reports that a server was lost while it processed a request, or, with Cleared, that
// this loss no longer counts against the request.
type Loss struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Request  Fingerprint
	Server   ServerKey
	Evidence Evidence
	// Cleared is set once the request has been answered completely by another server.
	Cleared bool
	// AgeMs is the time in milliseconds from the loss of the server to the sending of this
	// message.
	AgeMs uint32
}

// MaxLossBytes is the largest encoded size of a Loss.
const MaxLossBytes = 27

// ServerKey identifies one process of a backend server.
type ServerKey uint64

func keyOf(s register.Process) ServerKey {
	return ServerKey(xxhash.Sum64String(s.String()))
}

func (l Loss) age() time.Duration { return time.Duration(l.AgeMs) * time.Millisecond }

// withAge returns the loss with its age at the time of sending.
func (l Loss) withAge(now, at time.Time) Loss {
	l.AgeMs = uint32(min(max(now.Sub(at), 0), suspectTTL).Milliseconds())

	return l
}
