package placement

import (
	"time"

	"monsoonlever/lease"
)

// Snapshot is the state of a ledger in a checkpoint.
type Snapshot struct {
	Fence    lease.Fence `msgpack:"fence"`
	Sequence uint64      `msgpack:"sequence"`
	Intents  []Intent    `msgpack:"intents"`
	// VoluntaryPurchases and VoluntaryRetirements hold the times of the voluntary
	// changes of the last hour.
	VoluntaryPurchases   []time.Time `msgpack:"moves"`
	VoluntaryRetirements []time.Time `msgpack:"givenUp"`
}
