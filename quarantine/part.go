package quarantine

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// PartKey identifies a part of prompts at one service: another service may run other software, on
// which the part does no harm. It is derived without a key from what callers send, by a hash with
// which nobody finds a part that has the key of another one.
type PartKey uint64

// maxPartKeys bounds the parts of a prompt that are looked at.
const maxPartKeys = 1024

// PartKeys returns the keys of the parts of a prompt with the IDs, each once. The last part belongs
// to the request alone and has none.
func PartKeys(service fleet.Service, ids []string) []PartKey {
	if len(ids) < 2 {
		return nil
	}

	shared := ids[:min(len(ids)-1, maxPartKeys)]
	keys := make([]PartKey, 0, len(shared))

	for _, id := range shared {
		if key := partKeyOf(service, id); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}

	return keys
}

func partKeyOf(service fleet.Service, id string) PartKey {
	return PartKey(hashFields([]string{string(service)}, []byte(id)))
}

// String returns the key as logged.
func (k PartKey) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// PartReport reports that a server process crashed while it began an answer to a request with a
// part, or that an answer to such a request began.
type PartReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Part     PartKey
	// Event identifies the server process that crashed, or the request whose answer began.
	Event uint64
	Begun bool
	// AgeMs is the time in milliseconds from the event to the sending of this message.
	AgeMs uint32
}

// MaxPartReportBytes is the largest encoded size of a PartReport.
const MaxPartReportBytes = 26

// beginOf returns the event of an answer that began.
func beginOf(requestID string) uint64 { return xxhash.Sum64String(requestID) }
