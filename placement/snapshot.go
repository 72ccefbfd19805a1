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
	// VoluntaryPurchases and GivenUp hold when the purchases and retirements without need were
	// written in the last hour.
	VoluntaryPurchases   []time.Time `msgpack:"moves"`
	VoluntaryRetirements []time.Time `msgpack:"givenUp"`
}
