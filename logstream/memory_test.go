package logstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

var errLost = errors.New("answer was lost")

// memoryLog is a log whose next appends fail as its script says.
type memoryLog struct {
	clock clock.Clock

	mu      sync.Mutex
	records []provider.Record
	script  []appendFault
	late    [][]byte
	down    bool
	changed chan struct{}
}

type appendFault int

const (
	faultNone appendFault = iota
	faultRefused
	faultLostAnswer
	faultNeverArrives
	faultArrivesLate
)

func newMemoryLog(c clock.Clock) *memoryLog {
	return &memoryLog{clock: c, changed: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, _ provider.Stream, data []byte) (provider.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return 0, errLost
	}

	fault := faultNone
	if len(l.script) > 0 {
		fault, l.script = l.script[0], l.script[1:]
	}

	switch fault {
	case faultRefused:
		return 0, provider.ErrRefused
	case faultNeverArrives:
		return 0, errLost
	case faultArrivesLate:
		l.late = append(l.late, data)

		return 0, errLost
	case faultLostAnswer:
		l.add(data)

		return 0, errLost
	default:
		return l.add(data), nil
	}
}

func (l *memoryLog) add(data []byte) provider.Offset {
	offset := provider.Offset(len(l.records) + 1)
	l.records = append(l.records, provider.Record{Offset: offset, Time: l.clock.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})

	return offset
}

// arrive lets the late appends take effect.
func (l *memoryLog) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, data := range l.late {
		l.add(data)
	}

	l.late = nil
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.down = down
}

func (l *memoryLog) Read(ctx context.Context, _ provider.Stream, from provider.Offset, limit int, wait time.Duration) (provider.Batch, error) {
	l.mu.Lock()
	changed := l.changed
	empty := int(from) > len(l.records)
	l.mu.Unlock()

	if empty {
		select {
		case <-changed:
		case <-l.clock.After(wait):
		case <-ctx.Done():
			return provider.Batch{}, ctx.Err()
		}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return provider.Batch{}, errLost
	}

	b := provider.Batch{First: 1, Next: provider.Offset(len(l.records) + 1)}
	for i := int(from) - 1; i < len(l.records) && len(b.Records) < limit; i++ {
		b.Records = append(b.Records, l.records[i])
	}

	return b, nil
}
