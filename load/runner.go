package load

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/burn"
)

// runner is one run.
type runner struct {
	options Options
	start   time.Time
	caller  *caller
	tallies []*tally
	burn    *burn.Recorder
	flying  atomic.Int64
	// plain belongs to watchKeys while that runs.
	plain []plainServer

	mu     sync.Mutex
	keyed  []keyedCall
	broken []Breach
	count  int
	faults []FaultResult
}

// Run sends the load and returns once every call has ended. It ends early,
// with what was measured, if ctx ends.
func Run(ctx context.Context, o Options) (Result, error) {
	o, err := o.withDefaults()
	if err != nil {
		return Result{}, err
	}

	r := newRunner(o)

	var side conc.WaitGroup

	sideCtx, stop := context.WithCancel(ctx)

	side.Go(func() { r.postFaults(sideCtx) })
	side.Go(func() { r.showProgress(sideCtx) })
	side.Go(func() { r.watchKeys(sideCtx) })

	r.send(ctx)
	stop()
	side.Wait()

	return r.result(r.checkKeys(context.WithoutCancel(ctx))), nil
}

func newRunner(o Options) *runner {
	start := o.Clock.Now()
	r := &runner{
		options: o,
		start:   start,
		caller:  newCaller(&o, start),
		burn:    &burn.Recorder{Instance: "load"},
	}
	r.burn.Configure(start, objectives(&o.Mix))

	for _, address := range o.Plain {
		r.plain = append(r.plain, plainServer{address: address})
	}

	for i := range o.Mix.Calls {
		r.tallies = append(r.tallies, newTally(&o.Mix.Calls[i]))
	}

	return r
}

func objectives(m *Mix) []burn.Objective {
	var out []burn.Objective

	for _, c := range m.Calls {
		out = append(out, burn.Objective{
			Service: c.Service, Kind: c.Kind,
			FirstToken: c.Objective.FirstToken, BetweenTokens: c.Objective.BetweenTokens,
			Whole: c.Objective.Whole, Part: c.Objective.Part,
		})
	}

	return out
}

// send sends each call when it is due, however many are in flight, and waits
// for all to end.
func (r *runner) send(ctx context.Context) {
	var calls conc.WaitGroup

	defer calls.Wait()

	kinds := r.arrivals()

	for {
		next := earliest(kinds)
		due := kinds[next].next

		if due >= r.options.Duration || !r.waitUntil(ctx, due) {
			return
		}

		p := kinds[next].draw()
		t := r.tallies[next]
		full := r.flying.Load() >= int64(r.options.MaxInFlight)
		t.scheduled(r.elapsed()-due, full)

		if full {
			continue
		}

		r.flying.Add(1)
		calls.Go(func() {
			defer r.flying.Add(-1)

			r.ended(t, &p, r.caller.call(ctx, &p))
		})
	}
}

func (r *runner) arrivals() []*arrivals {
	// A run has an ID of its own, so that its keys are not those of the last.
	run := strconv.FormatInt(r.start.UnixMilli(), 36)
	kinds := make([]*arrivals, len(r.options.Mix.Calls))

	for i := range kinds {
		kinds[i] = newArrivals(&r.options.Mix, &r.options.Mix.Calls[i], &r.options, run)
	}

	return kinds
}

func earliest(kinds []*arrivals) int {
	first := 0

	for i := range kinds {
		if kinds[i].next < kinds[first].next {
			first = i
		}
	}

	return first
}

func (r *runner) elapsed() time.Duration {
	return r.options.Clock.Now().Sub(r.start)
}

func (r *runner) waitUntil(ctx context.Context, due time.Duration) bool {
	wait := due - r.elapsed()
	if wait <= 0 {
		return ctx.Err() == nil
	}

	select {
	case <-r.options.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// ended counts one call that has ended.
func (r *runner) ended(t *tally, p *planned, f finished) {
	t.finished(f)
	r.burn.Record(r.options.Clock.Now(), observation(p, &f))

	r.mu.Lock()
	defer r.mu.Unlock()

	if kind, broken := breachOf(f.ending); broken {
		r.breach(newBreach(kind, p, f.detail))
	}

	if p.idem != "" {
		r.keyed = append(r.keyed, keyedCall{planned: *p, finished: f})
	}
}

func (r *runner) breach(b Breach) {
	r.count++

	if len(r.broken) < maxBreaches {
		r.broken = append(r.broken, b)
	}
}

func observation(p *planned, f *finished) burn.Observation {
	o := burn.Observation{
		Service: p.call.Service, Account: p.account, Kind: p.call.Kind,
		FirstToken: f.firstToken, BetweenTokens: f.betweenTokens, Whole: f.whole,
		Reason: string(f.code), Excused: f.excused(), Tokens: f.tokens,
	}

	switch f.ending {
	case Answered:
		o.Outcome = burn.Answered
	case Refused:
		o.Outcome = burn.Refused
	default:
		o.Outcome = burn.Failed
	}

	return o
}

func (r *runner) result(keys KeyResult) Result {
	now := r.options.Clock.Now()

	r.mu.Lock()
	defer r.mu.Unlock()

	result := Result{
		Mix: r.options.Mix.Name, Seed: r.options.Seed,
		Started: r.start.UTC(), Duration: now.Sub(r.start),
		Broken: r.broken, BrokenCount: r.count, Keys: keys, Faults: r.faults,
		Burn: r.burn.Snapshot(now),
	}

	for _, t := range r.tallies {
		result.Kinds = append(result.Kinds, t.snapshot())
	}

	return result
}
