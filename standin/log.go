package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

// Log is a fake of the log service. Set the exported fields before its use.
type Log struct {
	Clock  clock.Clock
	Faults *Faults
	// MaxAge and MaxRecords bound what each stream retains; zero is no bound.
	MaxAge     time.Duration
	MaxRecords int

	mu      sync.Mutex
	streams map[provider.Stream]*stream
	appends int
}

var _ provider.Log = (*Log)(nil)

// stream holds the retained records of one stream.
type stream struct {
	records []provider.Record
	next    provider.Offset
	// grown is closed by the next append.
	grown chan struct{}
}

// NewLog returns an empty log that retains everything.
func NewLog(c clock.Clock) *Log {
	return &Log{Clock: c, Faults: NewFaults(c), streams: make(map[provider.Stream]*stream)}
}

// Append adds one record.
func (l *Log) Append(ctx context.Context, name provider.Stream, data []byte) (provider.Offset, error) {
	if err := l.Faults.Enter(ctx); err != nil {
		return 0, asLogError(err)
	}

	offset := l.add(name, data)
	if l.Faults.LosesAnswer() {
		return 0, merry.Prepend(ErrNoAnswer, "append to "+string(name))
	}

	return offset, nil
}

// asLogError adds what the port promises of a refused append.
func asLogError(err error) error {
	if errors.Is(err, ErrDown) {
		return merry.Wrap(provider.ErrRefused, merry.WithCause(err))
	}

	return err
}

func (l *Log) add(name provider.Stream, data []byte) provider.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(name)
	offset := s.next
	s.next++
	s.records = append(s.records, provider.Record{
		Offset: offset,
		Time:   l.Clock.Now(),
		Data:   append([]byte(nil), data...),
	})
	l.appends++
	l.retain(s)

	close(s.grown)
	s.grown = make(chan struct{})

	return offset
}

// Read returns the retained records from an offset on and waits for the first.
func (l *Log) Read(
	ctx context.Context, name provider.Stream, from provider.Offset, limit int, wait time.Duration,
) (provider.Batch, error) {
	if err := l.Faults.Enter(ctx); err != nil {
		return provider.Batch{}, asLogError(err)
	}

	var timeout <-chan time.Time
	if wait > 0 {
		timeout = l.Clock.After(wait)
	}

	for {
		batch, grown := l.batch(name, from, limit)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
		}

		select {
		case <-grown:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return provider.Batch{}, merry.Prepend(ctx.Err(), "read "+string(name))
		}
	}
}

func (l *Log) batch(name provider.Stream, from provider.Offset, limit int) (provider.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(name)
	l.retain(s)

	batch := provider.Batch{First: s.next, Next: s.next}
	if len(s.records) > 0 {
		batch.First = s.records[0].Offset
	}

	skip := 0
	if from > batch.First {
		skip = min(int(from-batch.First), len(s.records)) //nolint:gosec // bounded by what is retained
	}

	kept := s.records[skip:]
	batch.Records = append(batch.Records, kept[:min(max(limit, 0), len(kept))]...)

	return batch, s.grown
}

// Appends returns how many records were ever added.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.appends
}

func (l *Log) stream(name provider.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{next: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}

	return s
}

// retain drops the records that are too old or too many.
func (l *Log) retain(s *stream) {
	drop := 0
	if l.MaxRecords > 0 {
		drop = max(len(s.records)-l.MaxRecords, 0)
	}

	oldest := l.Clock.Now().Add(-l.MaxAge)
	for l.MaxAge > 0 && drop < len(s.records) && s.records[drop].Time.Before(oldest) {
		drop++
	}

	s.records = s.records[drop:]
}
