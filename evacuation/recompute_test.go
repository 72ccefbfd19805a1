package evacuation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// The traces simulate long essays on twelve runners in four failure domains. The
// caches are too large for all of them to be exported within a notice.
const (
	traceTick         = 100 * time.Millisecond
	traceLength       = 6 * time.Minute
	traceNotice       = 5 * time.Second
	traceWaveGap      = 20 * time.Second
	traceRestartDelay = time.Minute
	traceRunners      = 3
	traceSlots        = 16
	traceDecodeRate   = 15
	tracePrefillRate  = 4000
	traceArrivals     = 2.2
)

// essay is one answer of a trace.
type essay struct {
	id        int
	prompt    int
	length    int
	generated float64
	runner    *traceRunner
	exportAt  time.Duration
	exportTo  *traceRunner
	exported  int
}

type traceRunner struct {
	id        fleet.InstanceID
	domain    fleet.FailureDomain
	reclaimAt time.Duration
	readyAt   time.Duration
	essays    []*essay
}

// strategy is a policy for the answers on a reclaimed server.
type strategy struct {
	desc       string
	restart    bool
	export     bool
	ignoreWave bool
	order      func(a, b Stream) int
}

// recomputed counts the work that was repeated.
type recomputed struct {
	decoded   int
	prefilled int
	exports   int
	finished  int
	// better counts the seeds with fewer tokens than the previous strategy.
	better int
}

func (r recomputed) tokens() int { return r.decoded + r.prefilled }

func (r recomputed) engineSeconds() float64 {
	return float64(r.decoded)/traceDecodeRate + float64(r.prefilled)/tracePrefillRate
}

type trace struct {
	strategy   strategy
	rng        *rand.Rand
	now        time.Duration
	runners    []*traceRunner
	queue      []*essay
	waves      map[time.Duration]fleet.FailureDomain
	planner    Planner
	recomputed recomputed
	arrived    int
	due        float64
}

func newTrace(seed uint64, s strategy) *trace {
	w := &trace{
		strategy: s,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		waves:    map[time.Duration]fleet.FailureDomain{},
		planner: Planner{
			Policy: Policy{
				BytesPerToken:  320 << 10,
				BytesPerSecond: 1250 * 1000 * 1000,
				Setup:          100 * time.Millisecond,
				Margin:         500 * time.Millisecond,
			},
			Wave:  &Wave{HalfLife: time.Minute, Domains: map[fleet.FailureDomain]DomainInfo{}},
			order: s.order,
		},
	}

	prices := w.rng.Perm(4)
	for i, price := range prices {
		d := fleet.FailureDomain(fmt.Sprintf("domain-%d", i))
		w.planner.Wave.Domains[d] = DomainInfo{Region: "region", Instances: traceRunners, Price: float64(price)}

		for n := range traceRunners {
			w.runners = append(w.runners, &traceRunner{id: fleet.InstanceID(fmt.Sprintf("%s-%d", d, n)), domain: d})
		}
	}

	w.scheduleWaves(prices)

	return w
}

// scheduleWaves schedules two waves, each of which reclaims two failure domains
// one after the other. With probability 3/4, the second domain is the most
// expensive of the rest.
func (w *trace) scheduleWaves(prices []int) {
	byPrice := []int{0, 1, 2, 3}
	slices.SortFunc(byPrice, func(a, b int) int { return cmp.Compare(prices[b], prices[a]) })

	for _, at := range []time.Duration{time.Minute, 4 * time.Minute} {
		first := byPrice[w.rng.IntN(4)]
		rest := slices.DeleteFunc(slices.Clone(byPrice), func(d int) bool { return d == first })
		next := rest[0]

		if w.rng.IntN(4) == 0 {
			next = rest[1+w.rng.IntN(2)]
		}

		w.waves[at] = fleet.FailureDomain(fmt.Sprintf("domain-%d", first))
		w.waves[at+traceWaveGap] = fleet.FailureDomain(fmt.Sprintf("domain-%d", next))
	}
}

func (w *trace) run() recomputed {
	for ; w.now < traceLength; w.now += traceTick {
		w.arrive()
		w.sendNotices()
		w.decode()
		w.completeExports()
		w.reclaim()
		w.place()
	}

	return w.recomputed
}

func (w *trace) arrive() {
	for w.due += traceArrivals * traceTick.Seconds(); w.due >= 1; w.due-- {
		w.arrived++
		w.queue = append(w.queue, &essay{
			id:     w.arrived,
			prompt: 500 + w.rng.IntN(3000),
			length: 300 + w.rng.IntN(1200),
		})
	}
}

func (r *traceRunner) up(now time.Duration) bool { return now >= r.readyAt && r.reclaimAt == 0 }

func (w *trace) place() {
	for len(w.queue) > 0 {
		best := slices.MinFunc(w.runners, func(a, b *traceRunner) int {
			if a.up(w.now) != b.up(w.now) {
				if a.up(w.now) {
					return -1
				}

				return 1
			}

			return cmp.Compare(len(a.essays), len(b.essays))
		})

		if !best.up(w.now) || len(best.essays) >= traceSlots {
			return
		}

		e := w.queue[0]
		w.queue = w.queue[1:]
		e.runner = best
		best.essays = append(best.essays, e)
	}
}

func (w *trace) decode() {
	for _, r := range w.runners {
		r.essays = slices.DeleteFunc(r.essays, func(e *essay) bool {
			e.generated += traceDecodeRate * traceTick.Seconds()
			if e.generated < float64(e.length) {
				return false
			}

			w.recomputed.finished++
			e.exportTo = nil

			return true
		})
	}
}

func (w *trace) at(d time.Duration) time.Time { return testStart.Add(d) }

func (w *trace) sendNotices() {
	domain, ok := w.waves[w.now]
	if !ok {
		return
	}

	for range traceRunners {
		w.planner.Wave.Note(w.at(w.now), domain)
	}

	for _, r := range w.runners {
		if r.domain == domain {
			r.reclaimAt = w.now + traceNotice
		}
	}

	for _, r := range w.runners {
		if r.domain == domain && w.strategy.export {
			w.plan(r)
		}
	}
}

func (w *trace) plan(r *traceRunner) {
	byID := map[backend.AttemptID]*essay{}

	var streams []Stream

	for _, e := range r.essays {
		id := backend.AttemptID(fmt.Sprintf("%06d", e.id))
		byID[id] = e
		streams = append(streams, Stream{Attempt: id, Server: r.id, Tokens: e.prompt + int(e.generated)})
	}

	notice := Notice{Server: r.id, Domain: r.domain, At: w.at(r.reclaimAt)}

	planner := w.planner
	if w.strategy.ignoreWave {
		planner.Wave = nil
	}

	for _, x := range planner.Plan(w.at(w.now), notice, streams, w.targets()) {
		e := byID[x.Attempt]
		e.exportAt = x.Done.Sub(testStart)
		e.exported = int(e.generated)
		e.exportTo = w.runners[slices.IndexFunc(w.runners, func(t *traceRunner) bool { return t.id == x.Target })]
	}
}

func (w *trace) targets() []Target {
	var out []Target

	for _, r := range w.runners {
		if r.up(w.now) {
			out = append(out, Target{Server: r.id, Domain: r.domain, Room: 4000 * max(0, traceSlots-len(r.essays))})
		}
	}

	return out
}

// completeExports moves answers to their target once their cache has arrived. The
// tokens decoded during the export are prefilled again.
func (w *trace) completeExports() {
	for _, r := range w.runners {
		r.essays = slices.DeleteFunc(r.essays, func(e *essay) bool {
			if e.exportTo == nil || w.now < e.exportAt || !e.exportTo.up(w.now) {
				return false
			}

			w.recomputed.exports++
			w.recomputed.prefilled += int(e.generated) - e.exported
			e.runner = e.exportTo
			e.exportTo = nil
			e.runner.essays = append(e.runner.essays, e)

			return true
		})
	}
}

func (w *trace) reclaim() {
	for _, r := range w.runners {
		if r.reclaimAt == 0 || w.now < r.reclaimAt {
			continue
		}

		for _, e := range r.essays {
			w.requeue(e)
		}

		r.essays = nil
		r.reclaimAt = 0
		r.readyAt = w.now + traceRestartDelay
	}
}

func (w *trace) requeue(e *essay) {
	e.exportTo = nil
	w.recomputed.prefilled += e.prompt

	if w.strategy.restart {
		w.recomputed.decoded += int(e.generated)
		e.generated = 0
	} else {
		w.recomputed.prefilled += int(e.generated)
	}

	w.queue = append([]*essay{e}, w.queue...)
}

func arrivalOrder(a, b Stream) int { return cmp.Compare(a.Attempt, b.Attempt) }

// TestRecomputedTokens compares the strategies for answers on reclaimed servers
// on the same traces and prints the table of docs/reclaims.md.
func TestRecomputedTokens(t *testing.T) {
	strategies := []strategy{
		{desc: "restart from nothing", restart: true},
		{desc: "resume from text"},
		{desc: "KV export, arrival order, blind to the wave", export: true, ignoreWave: true, order: arrivalOrder},
		{desc: "KV export, arrival order", export: true, order: arrivalOrder},
		{desc: "KV export, dearest first", export: true},
	}
	totals := make([]recomputed, len(strategies))

	const seeds = 20

	for seed := range uint64(seeds) {
		before := 0

		for i, s := range strategies {
			r := newTrace(seed+1, s).run()
			if r.tokens() < before {
				totals[i].better++
			}

			before = r.tokens()
			totals[i].decoded += r.decoded
			totals[i].prefilled += r.prefilled
			totals[i].exports += r.exports
			totals[i].finished += r.finished
		}
	}

	var table strings.Builder

	fmt.Fprintf(&table, "%d traces\n| strategy | decoded again | prefilled again | tokens | engine seconds | exports | finished | better with seeds |\n", seeds)

	for i, s := range strategies {
		r := totals[i]
		fmt.Fprintf(&table, "| %s | %d | %d | %d | %.0f | %d | %d | %d |\n",
			s.desc, r.decoded, r.prefilled, r.tokens(), r.engineSeconds(), r.exports, r.finished, r.better)
	}

	t.Log(table.String())

	// Each strategy must improve on the one before it: resuming in engine
	// seconds, the later ones in recomputed tokens.
	if got, limit := totals[1].engineSeconds(), totals[0].engineSeconds(); got >= limit {
		t.Errorf("resume from text: got %.0f engine seconds, want less than %.0f", got, limit)
	}

	for i := 2; i < len(totals); i++ {
		if got, limit := totals[i].tokens(), totals[i-1].tokens(); got >= limit {
			t.Errorf("%s: got %d tokens, want less than %d", strategies[i].desc, got, limit)
		}
	}
}
