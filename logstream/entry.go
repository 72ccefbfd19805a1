package logstream

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Entry is one entry that readers accepted.
type Entry struct {
	writer      fleet.InstanceID
	incarnation fleet.Incarnation
	sequence    Sequence
	kind        Kind
	payload     []byte
	offset      provider.Offset
	time        time.Time
}

// NewEntry returns an entry as a reader would accept it, for tests of
// subscribers.
func NewEntry(by Author, kind Kind, payload []byte, at Place) Entry {
	return Entry{
		writer:      by.Writer,
		incarnation: by.Incarnation,
		sequence:    by.Sequence,
		kind:        kind,
		payload:     payload,
		offset:      at.Offset,
		time:        at.Time,
	}
}

// Author tells who wrote an entry.
type Author struct {
	Writer      fleet.InstanceID
	Incarnation fleet.Incarnation
	Sequence    Sequence
}

// Place tells where and when an entry took effect.
type Place struct {
	Offset provider.Offset
	Time   time.Time
}

// Writer returns the instance that wrote the entry.
func (e Entry) Writer() fleet.InstanceID { return e.writer }

// Incarnation returns the writer's incarnation.
func (e Entry) Incarnation() fleet.Incarnation { return e.incarnation }

// Sequence returns the writer's number of the entry.
func (e Entry) Sequence() Sequence { return e.sequence }

// Kind tells what the payload is.
func (e Entry) Kind() Kind { return e.kind }

// Payload returns the entry's content, which must not be changed.
func (e Entry) Payload() []byte { return e.payload }

// Offset returns the offset of the record that carried the entry.
func (e Entry) Offset() provider.Offset { return e.offset }

// Time returns the time at which the log took the record.
func (e Entry) Time() time.Time { return e.time }
