package replica

import (
	"context"
	"sync"
	"time"

	"monsoonlever/feed"
)

// wholeLife is how long an encoded whole set is sent again: readers go on from its position, and
// many ask at once when all start.
const wholeLife = 500 * time.Millisecond

// wholeSet holds the encoded frames of a feed's whole set for all that ask for it within a moment.
// The zero value holds none; it is safe for concurrent use.
type wholeSet struct {
	mu     sync.Mutex
	frames [][]byte
	next   feed.Position
	made   time.Time
}

// read returns the frames of a log's whole set, which may be up to wholeLife old as long as the
// log keeps what followed.
func (w *wholeSet) read(ctx context.Context, now time.Time, l *Log) ([][]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.frames != nil && now.Sub(w.made) <= wholeLife && l.HasChangesSince(w.next) {
		return w.frames, nil
	}

	entries, next, err := l.Snapshot(ctx)
	if err != nil {
		return nil, err
	}

	frames, err := encodeAll(framesOf(entries, next))
	if err != nil {
		return nil, err
	}

	w.frames, w.next, w.made = frames, next, now

	return frames, nil
}

func encodeAll(frames []frame) ([][]byte, error) {
	encoded := make([][]byte, 0, len(frames))

	for i := range frames {
		data, err := encode(&frames[i])
		if err != nil {
			return nil, err
		}

		encoded = append(encoded, data)
	}

	return encoded, nil
}
