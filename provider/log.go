package provider

import (
	"context"
	"errors"
	"time"
)

// Stream names one append-only sequence of records in the log service.
type Stream string

// Offset is a position in a stream. The first record has offset 1.
type Offset uint64

// Record is one retained record of a stream.
type Record struct {
	Offset Offset
	Time   time.Time
	Data   []byte
}

// Batch is the result of one read.
type Batch struct {
	// Records are in offset order and may be empty.
	Records []Record
	// First is the offset of the oldest retained record, or Next if none is retained.
	First Offset
	// Next is the offset of the next record to be appended.
	Next Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends one record. Its error wraps ErrRefused if the record was not appended.
	// After any other error, the record may have been appended.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns up to limit records, starting at offset from. If there is none yet, Read
	// waits for one for up to wait. If from is below First, Read starts at First.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
}

// ErrRefused means that an append had no effect.
var ErrRefused = errors.New("log refused the append")
