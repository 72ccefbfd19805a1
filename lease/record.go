package lease

import (
	"time"

	"monsoonlever/provider"
)

// Record is the payload of one lease record on the log.
type Record struct {
	Kind   Kind   `msgpack:"kind"`
	Role   Role   `msgpack:"role"`
	Holder Holder `msgpack:"holder"`
	// Sequence numbers the records of one holder. A retry of an append sends a new record
	// with its own sequence number.
	Sequence uint64 `msgpack:"sequence"`
	// Previous is the offset of the last valid record of the role, or 0.
	Previous provider.Offset `msgpack:"previous"`
	// Term is the duration of the grant, counted from before the append.
	Term time.Duration `msgpack:"term"`
}
