package replica

import (
	"context"
	"sync"
	"time"

	"monsoonlever/feed"
)

// snapshotTTL is how long an encoded whole set is sent again: readers go on from its position, and
// many ask at once when all start.
const snapshotTTL = 500 * time.Millisecond

// snapshotCache holds the encoded frames of a feed's whole set for all that ask for it within a moment.
// The zero value holds none; it is safe for concurrent use.
type snapshotCache struct {
	mu        sync.Mutex
	frames    [][]byte
	next      feed.Position
	encodedAt time.Time
}

// read returns the frames of a log's whole set, which may be up to wholeLife old as long as the
// log keeps what followed.
func (c *snapshotCache) read(ctx context.Context, now time.Time, l *Log) ([][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.frames != nil && now.Sub(c.encodedAt) <= snapshotTTL && l.HasChangesSince(c.next) {
		return c.frames, nil
	}

	entries, next, err := l.Snapshot(ctx)
	if err != nil {
		return nil, err
	}

	frames, err := encodeFrames(splitIntoFrames(entries, next))
	if err != nil {
		return nil, err
	}

	c.frames, c.next, c.encodedAt = frames, next, now

	return frames, nil
}

func encodeFrames(frames []frame) ([][]byte, error) {
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
