package lease

import (
	"time"

	"monsoonlever/provider"
)

// Snapshot is the state of one role in a checkpoint. It lets a process that starts from the
// retained end of the log validate records as the other processes do.
type Snapshot struct {
	Role     Role            `msgpack:"role"`
	Holder   Holder          `msgpack:"holder"`
	Fence    Fence           `msgpack:"fence"`
	Last     provider.Offset `msgpack:"last"`
	Term     time.Duration   `msgpack:"term"`
	Released bool            `msgpack:"released"`
}
