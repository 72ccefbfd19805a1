package daemon

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/peer"
	"monsoonlever/provider"
)

// The kinds of messages between daemons; those below belong to membership.
const (
	kindAnswers peer.Kind = iota + 48
	kindDemand
	kindLeaving
	kindManifest
)

// DemandNews carries the demand of an instance on the limits of accounts.
type DemandNews struct {
	Digest []byte `msgpack:"digest"`
}

// LeavingNews says that a backend server leaves at a time.
type LeavingNews struct {
	Instance fleet.InstanceID `msgpack:"instance"`
	At       time.Time        `msgpack:"at"`
}

// ManifestQuestion asks for the manifest in force.
type ManifestQuestion struct{}

// ManifestNews carries the manifest in force, or nothing where none is known.
type ManifestNews struct {
	Checkpoint []byte `msgpack:"checkpoint,omitempty"`
}

// Payload is what an instance says of itself to all others.
type Payload struct {
	// Manifest is the version in force.
	Manifest provider.Offset `msgpack:"m"`
	// Operators is where operators reach the instance.
	Operators string `msgpack:"o"`
}

func (p Payload) encode() ([]byte, error) {
	return msgpack.Marshal(p)
}

func decodePayload(data []byte) (Payload, error) {
	var p Payload
	err := codec.Unmarshal(data, &p)

	return p, err
}
