package standin

import (
	"context"
	"sync"
	"time"

	"monsoonlever/clock"
)

// pipe is a link that carries one transfer after the other.
type pipe struct {
	mu   sync.Mutex
	free time.Time
}

// carry waits until a transfer that takes d has passed and returns how long
// that took with the wait for earlier ones.
func (p *pipe) carry(ctx context.Context, c clock.Clock, d time.Duration) (time.Duration, error) {
	took := p.reserve(c.Now(), d)

	return took, sleep(ctx, c, took)
}

func (p *pipe) reserve(now time.Time, d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.free.Before(now) {
		p.free = now
	}

	p.free = p.free.Add(d)

	return p.free.Sub(now)
}
