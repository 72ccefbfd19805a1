package retry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// fixedPart is the number of retries that a budget allows beside the share of its requests, which
// may be a fraction. If it is a part of a bound that several processes have in common, a larger
// value takes effect only once it has held for a window: until then, what others spent of the bound
// still counts. It is safe for concurrent use, and reading it takes no lock.
type fixedPart struct {
	// span is how long a smaller value stays in force; zero if the part is not shared.
	span time.Duration

	// mu serializes changes of steps, which is replaced and never modified.
	mu sync.Mutex
	// steps are the smaller values that may still be in force, in ascending order, and the current
	// value last, if there is one.
	steps atomic.Pointer[[]fixedStep]
}

// fixedStep is a value and until when it was set; zero for the current one.
type fixedStep struct {
	value float64
	until time.Time
	// beforeStart is set for the time before the start of the process.
	beforeStart bool
}

// set sets the value.
func (f *fixedPart) set(now time.Time, value float64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	var next []fixedStep

	if steps := f.steps.Load(); steps != nil {
		for _, s := range *steps {
			if s.until.IsZero() {
				s.until = now
			}

			if s.value < value && f.applies(now, s) {
				next = append(next, s)
			}
		}
	}

	next = append(next, fixedStep{value: value})
	f.steps.Store(&next)
}

// dropStart drops the time before the start, in which the value was unknown.
func (f *fixedPart) dropStart() {
	f.mu.Lock()
	defer f.mu.Unlock()

	steps := slices.DeleteFunc(slices.Clone(*f.steps.Load()), func(s fixedStep) bool { return s.beforeStart })
	f.steps.Store(&steps)
}

// inForce returns the least value of the last span.
func (f *fixedPart) inForce(now time.Time) float64 {
	for _, s := range *f.steps.Load() {
		if f.applies(now, s) {
			return s.value
		}
	}

	return 0
}

func (f *fixedPart) applies(now time.Time, s fixedStep) bool {
	return s.until.IsZero() || now.Sub(s.until) < f.span
}
