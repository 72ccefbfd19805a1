package evacuation

import (
	"context"
	"sync"
	"time"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// bytesPerPromptToken is the estimated length of a prompt token.
const bytesPerPromptToken = 4

// ExportScheduler runs a Coordinator on a clock and implements
// answer.ExportSource. Its exported fields must be set before Run.
type ExportScheduler struct {
	Clock       clock.Clock
	Coordinator *Coordinator
	// Targets returns the servers that can currently receive KV caches.
	Targets func() []Target

	mu      sync.Mutex
	waiting map[backend.AttemptID]chan fleet.InstanceID
	wake    chan struct{}
	once    sync.Once
}

// Run permits and refuses exports until the context is canceled.
func (s *ExportScheduler) Run(ctx context.Context) {
	s.init()

	for {
		var timer <-chan time.Time
		if at, ok := s.grantTurns(); ok {
			timer = s.Clock.After(at.Sub(s.Clock.Now()))
		}

		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer:
		}
	}
}

// Notice records the reclaim notice of a backend server.
func (s *ExportScheduler) Notice(n Notice) {
	s.step(func(now time.Time) { s.Coordinator.Notice(now, n) })
}

// RemoveServer discards the state of a server that has been reclaimed.
func (s *ExportScheduler) RemoveServer(server fleet.InstanceID) {
	s.step(func(time.Time) { s.Coordinator.RemoveServer(server) })
}

// Target blocks until the export of an answer's KV cache is permitted or refused,
// or until the context is canceled. It reports whether the export is permitted.
// If so, the caller must call Done of the returned turn after the export.
func (s *ExportScheduler) Target(ctx context.Context, r answer.Request, e answer.ExportKV) (answer.ExportTurn, bool) {
	turn := make(chan fleet.InstanceID, 1)
	stream := Stream{
		Attempt:  e.Attempt,
		Server:   e.Server,
		Model:    r.Model,
		Priority: r.Priority,
		Tokens:   len(r.Prompt)/bytesPerPromptToken + e.Tokens,
	}

	s.step(func(now time.Time) {
		s.waiting[e.Attempt] = turn
		s.Coordinator.Enqueue(now, stream, e.By)
	})

	done := func() {
		s.step(func(time.Time) {
			delete(s.waiting, e.Attempt)
			s.Coordinator.Done(e.Attempt)
		})
	}

	select {
	case target := <-turn:
		if target != "" {
			return answer.ExportTurn{Target: target, Done: done}, true
		}
	case <-ctx.Done():
	}

	done()

	return answer.ExportTurn{}, false
}

func (s *ExportScheduler) init() {
	s.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.waiting = make(map[backend.AttemptID]chan fleet.InstanceID)
		s.wake = make(chan struct{}, 1)
	})
}

func (s *ExportScheduler) step(step func(now time.Time)) {
	s.init()
	s.mu.Lock()
	step(s.Clock.Now())
	s.mu.Unlock()

	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// grantTurns permits and refuses the exports that are due. It returns the result
// of Coordinator.Wake.
func (s *ExportScheduler) grantTurns() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.Clock.Now()

	if s.Targets != nil {
		s.Coordinator.Targets(s.Targets())
	}

	for _, t := range s.Coordinator.Turns(now) {
		if ch, ok := s.waiting[t.Attempt]; ok {
			ch <- t.Target
			delete(s.waiting, t.Attempt)
		}
	}

	return s.Coordinator.Wake(now)
}
