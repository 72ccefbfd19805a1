package load

import (
	"context"
	"fmt"
	"time"
)

// showProgress writes a line from time to time.
func (r *runner) showProgress(ctx context.Context) {
	if r.options.Progress == nil {
		return
	}

	for {
		select {
		case <-ctx.Done():
			return
		case <-r.options.Clock.After(r.options.ProgressEvery):
		}

		// Progress is only for the eye; a terminal that is gone stops nothing.
		_, _ = fmt.Fprintln(r.options.Progress, r.progress())
	}
}

func (r *runner) progress() string {
	var scheduled, late, skipped, answered, refused, other uint64

	for _, t := range r.tallies {
		k := t.snapshot()
		scheduled += k.Scheduled
		late += k.Late
		skipped += k.Skipped

		for _, c := range k.Endings {
			switch c.Ending {
			case Answered:
				answered += c.Count
			case Refused:
				refused += c.Count
			default:
				other += c.Count
			}
		}
	}

	r.mu.Lock()
	broken := r.count
	r.mu.Unlock()

	return fmt.Sprintf("%6s  scheduled %d  answered %d  refused %d  other %d  in flight %d  late %d  skipped %d  broken %d",
		r.elapsed().Round(time.Second), scheduled, answered, refused, other, r.flying.Load(), late, skipped, broken)
}
