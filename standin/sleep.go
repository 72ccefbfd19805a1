package standin

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

// sleep waits on a clock.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) error {
	if d <= 0 {
		return nil
	}

	select {
	case <-c.After(d):
		return nil
	case <-ctx.Done():
		return merry.Wrap(ctx.Err())
	}
}
