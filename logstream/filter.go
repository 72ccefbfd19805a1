package logstream

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// DefaultMaxDelay is the greatest difference between the time an entry was
// written and the time the log took it.
const DefaultMaxDelay = 30 * time.Second

// Drop tells why a record's entries were not accepted.
type Drop string

// The reasons to drop a record.
const (
	// Kept means that the entries were accepted.
	Kept Drop = ""
	// Undecodable means that the record is not a batch of this version.
	Undecodable Drop = "undecodable"
	// Fenced means that a batch with the same or a greater sequence came first.
	Fenced Drop = "fenced"
	// Delayed means that the record's times differ by more than MaxDelay.
	Delayed Drop = "delayed"
)

type writerKey struct {
	writer      fleet.InstanceID
	incarnation fleet.Incarnation
}

type writerState struct {
	last Sequence
	seen time.Time
}

// Filter applies the rules by which all readers accept the same entries.
type Filter struct {
	// MaxDelay is the same for all readers of a stream.
	MaxDelay time.Duration

	writers map[writerKey]writerState
	pruned  time.Time
}

// Accept returns the batch of a record and whether it is in effect.
func (f *Filter) Accept(r provider.Record) (Batch, Drop) {
	b, err := DecodeBatch(r.Data)
	if err != nil {
		return Batch{}, Undecodable
	}

	if delay := r.Time.Sub(b.Written()); delay > f.MaxDelay || -delay > f.MaxDelay {
		return b, Delayed
	}

	f.prune(r.Time)

	key := writerKey{writer: b.Writer, incarnation: b.Incarnation}
	if b.First <= f.writers[key].last {
		return b, Fenced
	}

	if f.writers == nil {
		f.writers = make(map[writerKey]writerState)
	}

	f.writers[key] = writerState{last: b.Last(), seen: r.Time}

	return b, Kept
}

// prune forgets writers that have been silent for so long that a batch fenced
// by their last one would be dropped as delayed. Times written do not
// decrease, and each is within MaxDelay of the log's, hence twice MaxDelay.
func (f *Filter) prune(now time.Time) {
	silence := 2 * f.MaxDelay
	if now.Sub(f.pruned) < silence {
		return
	}

	f.pruned = now

	for key, state := range f.writers {
		if now.Sub(state.seen) > silence {
			delete(f.writers, key)
		}
	}
}
