package publication

import (
	"time"

	"monsoonlever/provider"
)

// Result is what one record did.
type Result struct {
	outcome Outcome
	offset  provider.Offset
	time    time.Time
	before  provider.Offset
	version provider.Offset
	id      ID
	err     error
	// snapshot is the state's after the record.
	snapshot *Snapshot
}

// Outcome tells what the record did.
func (r Result) Outcome() Outcome { return r.outcome }

// Offset returns the record's offset, 0 where the log has none for it.
func (r Result) Offset() provider.Offset { return r.offset }

// Time returns when the log added the record.
func (r Result) Time() time.Time { return r.time }

// Before returns the version in force before the record.
func (r Result) Before() provider.Offset { return r.before }

// Version returns the version in force after the record.
func (r Result) Version() provider.Offset { return r.version }

// ID returns the id in the record.
func (r Result) ID() ID { return r.id }

// Err returns why the record had no effect: the findings of an Invalid one, the
// cause of an Undecodable one.
func (r Result) Err() error { return r.err }
