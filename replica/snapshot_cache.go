package replica

import (
	"context"
	"sync"
	"time"

	"monsoonlever/feed"
)

// snapshotTTL is how long an encoded snapshot is reused. When all instances start, many request the
// same snapshot at the same time; they read newer changes from its position afterwards.
const snapshotTTL = 500 * time.Millisecond

// snapshotCache holds the encoded frames of the last snapshot of one feed. The zero value is empty;
// it is safe for concurrent use.
type snapshotCache struct {
	mu        sync.Mutex
	frames    [][]byte
	next      feed.Position
	encodedAt time.Time
}

// read returns the frames of a full snapshot of a log. A cached snapshot is reused for snapshotTTL
// if the log retains all later changes.
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
