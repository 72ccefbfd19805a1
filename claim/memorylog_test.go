package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"monsoonlever/provider"
)

var errResponseLost = errors.New("response lost")

// memoryLog is an in-memory log that several executors share.
type memoryLog struct {
	mu      sync.Mutex
	records []provider.Record
	down    bool
	// dropResponses is the number of next appends that take effect but whose response is
	// lost.
	dropResponses int
	changed       chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{changed: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, _ provider.Stream, data []byte) (provider.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return 0, errResponseLost
	}

	offset := provider.Offset(len(l.records) + 1)
	l.records = append(l.records, provider.Record{Offset: offset, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})

	if l.dropResponses > 0 {
		l.dropResponses--

		return 0, errResponseLost
	}

	return offset, nil
}

func (l *memoryLog) setFaults(down bool, dropResponses int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.down = down
	l.dropResponses = dropResponses
}

func (l *memoryLog) Read(ctx context.Context, _ provider.Stream, from provider.Offset, limit int, wait time.Duration) (provider.Batch, error) {
	l.mu.Lock()
	changed := l.changed
	empty := int(from) > len(l.records)
	l.mu.Unlock()

	if empty {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return provider.Batch{}, ctx.Err()
		}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return provider.Batch{}, errResponseLost
	}

	b := provider.Batch{First: 1, Next: provider.Offset(len(l.records) + 1)}
	for i := int(from) - 1; i < len(l.records) && len(b.Records) < limit; i++ {
		b.Records = append(b.Records, l.records[i])
	}

	return b, nil
}
