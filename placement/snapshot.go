package placement

import (
	"time"

	"monsoonlever/lease"
)

// Snapshot is the ledger as a checkpoint keeps it.
type Snapshot struct {
	Fence    lease.Fence `msgpack:"fence"`
	Sequence uint64      `msgpack:"sequence"`
	Intents  []Intent    `msgpack:"intents"`
	// Moves and GivenUp hold when the purchases and retirements without need were
	// written in the last hour.
	Moves   []time.Time `msgpack:"moves"`
	GivenUp []time.Time `msgpack:"givenUp"`
}
