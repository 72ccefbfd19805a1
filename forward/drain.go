package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainRetryAfter is the Retry-After of an instance that stops: load balancers send callers elsewhere
	// within about two readiness checks.
	drainRetryAfter = time.Second
	// durationWeight is the weight of the newest duration in the mean of a route, and
	// deviationFactor how many mean deviations above the mean a request is expected to take.
	durationWeight  = 0.125
	deviationFactor = 2
)

// Drain is the stop of an instance. It is safe for concurrent use; a nil Drain never begins.
type Drain struct {
	ctx    context.Context //nolint:containedctx // its end is that of all requests
	cancel context.CancelFunc
	// endsAt is when Abort will be called; nil until the stop begins.
	endsAt atomic.Pointer[time.Time]

	// routes holds an *atomic.Pointer[duration] for each route's name.
	routes sync.Map
}

// duration is the smoothed duration of a route's requests, and how far they deviate from it.
type duration struct {
	mean, deviation time.Duration
}

// NewDrain returns a stop that has not begun.
func NewDrain() *Drain {
	d := &Drain{}
	d.ctx, d.cancel = context.WithCancel(context.Background())

	return d
}

// Begin begins the stop. Requests that have not ended by endsAt will be aborted.
func (d *Drain) Begin(endsAt time.Time) { d.endsAt.Store(&endsAt) }

// Abort ends all requests that still run: each caller whose response has not begun is told.
func (d *Drain) Abort() { d.cancel() }

// aborted reports whether requests are being aborted.
func (d *Drain) aborted() bool { return d != nil && d.ctx.Err() != nil }

// abortWith has the abort of all requests call cancel, until the returned function is called.
func (d *Drain) abortWith(cancel context.CancelFunc) func() bool {
	if d == nil {
		return func() bool { return true }
	}

	return context.AfterFunc(d.ctx, cancel)
}

// recordDuration records how long an answered request of a route took.
func (d *Drain) recordDuration(route string, took time.Duration) {
	if d == nil {
		return
	}

	stored, _ := d.routes.LoadOrStore(route, &atomic.Pointer[duration]{})

	known, ok := stored.(*atomic.Pointer[duration])
	if !ok {
		return
	}

	for {
		before := known.Load()
		if known.CompareAndSwap(before, before.with(took)) {
			return
		}
	}
}

// with returns the duration once a request took some time; a nil duration is unknown.
func (d *duration) with(took time.Duration) *duration {
	if d == nil {
		return &duration{mean: took}
	}

	return &duration{
		mean:      d.mean + time.Duration(durationWeight*float64(took-d.mean)),
		deviation: d.deviation + time.Duration(durationWeight*float64((took-d.mean).Abs()-d.deviation)),
	}
}

// expected returns how long a request of a route is expected to take, or zero if that is unknown.
func (d *Drain) expected(route string) time.Duration {
	stored, _ := d.routes.Load(route)

	known, ok := stored.(*atomic.Pointer[duration])
	if !ok {
		return 0
	}

	last := known.Load()
	if last == nil {
		return 0
	}

	return last.mean + deviationFactor*last.deviation
}

// allows reports whether a request of a route is expected to end before requests are aborted.
func (d *Drain) allows(now time.Time, route string) bool {
	if d == nil {
		return true
	}

	endsAt := d.endsAt.Load()

	return endsAt == nil || now.Add(d.expected(route)).Before(*endsAt)
}
