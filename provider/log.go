package provider

import (
	"context"
	"errors"
	"time"
)

// Stream names one append-only sequence of the log service.
type Stream string

// Offset is a position in a stream. The first record has offset 1.
type Offset uint64

// Record is one retained record of a stream.
type Record struct {
	Offset Offset
	Time   time.Time
	Data   []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Records are in offset order and may be empty.
	Records []Record
	// First is the oldest offset still retained, or Next if none is.
	First Offset
	// Next is the offset the next append will get.
	Next Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record. An error that is not ErrRefused means that the
	// record may or may not have been added.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns up to limit records from offset from on. Where there is none
	// yet it waits up to wait for one. A from before First reads from First.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
}

// ErrRefused is wrapped by an append that certainly did not take effect.
var ErrRefused = errors.New("log refused the append")
