package lease

import (
	"time"

	"monsoonlever/provider"
)

// Snapshot is the state of one role as a checkpoint keeps it, so that a process
// that starts from the retained part of the log judges records as others do.
type Snapshot struct {
	Role     Role            `msgpack:"role"`
	Holder   Holder          `msgpack:"holder"`
	Fence    Fence           `msgpack:"fence"`
	Last     provider.Offset `msgpack:"last"`
	Term     time.Duration   `msgpack:"term"`
	Released bool            `msgpack:"released"`
}
