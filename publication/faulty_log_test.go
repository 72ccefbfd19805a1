package publication

import (
	"context"
	"errors"
	"slices"
	"time"

	"monsoonlever/provider"
)

// fault is what goes wrong with one call to the log.
type fault int

const (
	faultNone fault = iota
	// faultRefused takes no effect and says so.
	faultRefused
	// faultLost takes no effect, and the answer is lost.
	faultLost
	// faultAnswerLost takes effect, and the answer is lost.
	faultAnswerLost
	// faultLate takes effect at some later time, and the answer is lost.
	faultLate
	// faultTwice takes effect twice.
	faultTwice
)

// likelyFaults holds the faults as often as they should come. Late appends are
// the ones that answers are hardest to keep true for.
var likelyFaults = []fault{
	faultLate, faultAnswerLost, faultTwice, faultLate, faultLost, faultRefused, faultLate, faultNone,
}

var errTimeout = errors.New("timeout")

// faultyLog is a log whose next call goes wrong as the test says.
type faultyLog struct {
	now     time.Time
	records []provider.Record
	first   provider.Offset
	late    [][]byte
	fault   fault
	limit   int
	appends int
}

func newFaultyLog(now time.Time) *faultyLog {
	return &faultyLog{now: now, first: 1}
}

func (l *faultyLog) next() provider.Offset {
	return provider.Offset(len(l.records) + 1)
}

func (l *faultyLog) add(data []byte) provider.Offset {
	offset := l.next()
	l.records = append(l.records, provider.Record{Offset: offset, Time: l.now, Data: slices.Clone(data)})

	return offset
}

// deliver adds a record whose append was late.
func (l *faultyLog) deliver(i int) {
	l.add(l.late[i])
	l.late = slices.Delete(l.late, i, i+1)
}

func (l *faultyLog) Append(_ context.Context, _ provider.Stream, data []byte) (provider.Offset, error) {
	l.appends++

	switch l.fault {
	case faultRefused:
		return 0, provider.ErrRefused
	case faultLost:
		return 0, errTimeout
	case faultAnswerLost:
		l.add(data)

		return 0, errTimeout
	case faultLate:
		l.late = append(l.late, slices.Clone(data))

		return 0, errTimeout
	case faultTwice:
		offset := l.add(data)
		l.add(data)

		return offset, nil
	default:
		return l.add(data), nil
	}
}

func (l *faultyLog) Read(_ context.Context, _ provider.Stream, from provider.Offset, limit int, _ time.Duration) (provider.Batch, error) {
	if l.fault != faultNone && l.fault != faultTwice {
		return provider.Batch{}, errTimeout
	}

	if l.limit > 0 {
		limit = min(limit, l.limit)
	}

	from = max(from, l.first)
	b := provider.Batch{First: l.first, Next: l.next()}

	if from < l.next() {
		end := min(int(from)-1+limit, len(l.records))
		b.Records = slices.Clone(l.records[from-1 : end])
	}

	return b, nil
}
