package logstream

import (
	"context"
	"time"

	"monsoonlever/clock"
)

// withTimeout is context.WithTimeout on a passed-in clock.
func withTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := c.After(d)

	go func() {
		select {
		case <-timer:
			cancel()
		case <-ctx.Done():
		}
	}()

	return ctx, cancel
}
