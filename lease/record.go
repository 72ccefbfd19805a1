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
	// Sequence counts the records of one holder. A retried append is sent as a
	// new record with its own sequence.
	Sequence uint64 `msgpack:"sequence"`
	// Previous is the offset of the last valid record of the role, or 0.
	Previous provider.Offset `msgpack:"previous"`
	// Term is how long the grant lasts, counted from before the append.
	Term time.Duration `msgpack:"term"`
}
