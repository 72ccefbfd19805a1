package clock

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier when ctx is done.
func Sleep(ctx context.Context, c Clock, d time.Duration) {
	select {
	case <-c.After(d):
	case <-ctx.Done():
	}
}
