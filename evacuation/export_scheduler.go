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
func (d *ExportScheduler) Run(ctx context.Context) {
	d.init()

	for {
		var timer <-chan time.Time
		if at, ok := d.grantTurns(); ok {
			timer = d.Clock.After(at.Sub(d.Clock.Now()))
		}

		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer:
		}
	}
}

// Notice records the reclaim notice of a backend server.
func (d *ExportScheduler) Notice(n Notice) {
	d.step(func(now time.Time) { d.Coordinator.Notice(now, n) })
}

// RemoveServer discards the state of a server that has been reclaimed.
func (d *ExportScheduler) RemoveServer(server fleet.InstanceID) {
	d.step(func(time.Time) { d.Coordinator.RemoveServer(server) })
}

// Target blocks until the export of an answer's KV cache is permitted or refused,
// or until the context is canceled. It reports whether the export is permitted.
// If so, the caller must call Done of the returned turn after the export.
func (d *ExportScheduler) Target(ctx context.Context, r answer.Request, e answer.ExportKV) (answer.ExportTurn, bool) {
	turn := make(chan fleet.InstanceID, 1)
	stream := Stream{
		Attempt:  e.Attempt,
		Server:   e.Server,
		Model:    r.Model,
		Priority: r.Priority,
		Tokens:   len(r.Prompt)/bytesPerPromptToken + e.Tokens,
	}

	d.step(func(now time.Time) {
		d.waiting[e.Attempt] = turn
		d.Coordinator.Enqueue(now, stream, e.By)
	})

	done := func() {
		d.step(func(time.Time) {
			delete(d.waiting, e.Attempt)
			d.Coordinator.Done(e.Attempt)
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

func (d *ExportScheduler) init() {
	d.once.Do(func() {
		d.mu.Lock()
		defer d.mu.Unlock()

		d.waiting = make(map[backend.AttemptID]chan fleet.InstanceID)
		d.wake = make(chan struct{}, 1)
	})
}

func (d *ExportScheduler) step(step func(now time.Time)) {
	d.init()
	d.mu.Lock()
	step(d.Clock.Now())
	d.mu.Unlock()

	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// grantTurns permits and refuses the exports that are due. It returns the result
// of Coordinator.Wake.
func (d *ExportScheduler) grantTurns() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.Clock.Now()

	if d.Targets != nil {
		d.Coordinator.Targets(d.Targets())
	}

	for _, t := range d.Coordinator.Turns(now) {
		if ch, ok := d.waiting[t.Attempt]; ok {
			ch <- t.Target
			delete(d.waiting, t.Attempt)
		}
	}

	return d.Coordinator.Wake(now)
}
