package entry

import (
	"context"
	"sync"
	"time"

	"monsoonlever/feed"
)

// polledSource is a source without entries whose reads wait as long as they are told to, or until
// there is a change.
type polledSource struct {
	mu     sync.Mutex
	change chan struct{}
	end    feed.Position
}

func (s *polledSource) Snapshot(context.Context) ([]feed.Entry, feed.Position, error) {
	return nil, 1, nil
}

func (s *polledSource) Changes(ctx context.Context, from feed.Position, wait time.Duration) (feed.Changes, error) {
	s.mu.Lock()
	change, end := s.change, s.end
	s.mu.Unlock()

	if from >= end {
		select {
		case <-change:
		case <-time.After(wait):
		case <-ctx.Done():
			return feed.Changes{}, ctx.Err()
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	changes := feed.Changes{Next: s.end, End: s.end}
	if from < s.end {
		changes.Entries = []feed.Entry{{Key: "k", Data: []byte("v"), At: from}}
	}

	return changes, nil
}

func (s *polledSource) appendEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.end++
	close(s.change)
	s.change = make(chan struct{})
}
