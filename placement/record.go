package placement

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// Record is the payload of one intent record on the log.
type Record struct {
	Step Step `msgpack:"step"`
	// Fence is the grant under which the record was written. The record is
	// valid only if no newer grant comes before it on the log.
	Fence lease.Fence `msgpack:"fence"`
	// Sequence counts the records under one grant.
	Sequence uint64 `msgpack:"sequence"`
	// Token identifies the intent; for StepBuy it is derived from this record.
	Token   Token         `msgpack:"token"`
	Service fleet.Service `msgpack:"service,omitempty"`
	Cell    Cell          `msgpack:"cell"`
	// At is when the record was written, by the writer's clock. Voluntary is set
	// on a purchase or retirement that counts against ChangesPerHour.
	At        time.Time `msgpack:"at"`
	Voluntary bool      `msgpack:"voluntary,omitempty"`
}
