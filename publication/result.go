package publication

import (
	"time"

	"monsoonlever/platform"
)

// Result is what one record did.
type Result struct {
	outcome Outcome
	offset  platform.Offset
	time    time.Time
	before  platform.Offset
	version platform.Offset
	id      ID
	err     error
}

// Outcome tells what the record did.
func (r Result) Outcome() Outcome { return r.outcome }

// Offset returns the record's offset, 0 where the log has none for it.
func (r Result) Offset() platform.Offset { return r.offset }

// Time returns when the log added the record.
func (r Result) Time() time.Time { return r.time }

// Before returns the version in force before the record.
func (r Result) Before() platform.Offset { return r.before }

// Version returns the version in force after the record.
func (r Result) Version() platform.Offset { return r.version }

// ID returns the id in the record.
func (r Result) ID() ID { return r.id }

// Err returns why the record had no effect: the findings of an Invalid one, the
// cause of an Undecodable one.
func (r Result) Err() error { return r.err }
