package retry

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

const (
	// totalShare and totalWindow are the bound on the retries of all instances together, and
	// instanceShare the share of the requests that instances use of it.
	totalShare    = 0.2
	totalWindow   = 10 * time.Second
	instanceShare = 0.18

	totalStep = 50 * time.Millisecond
)

// totalPlay is a load on instances while servers fail, and instances are killed or requests move
// to other instances.
type totalPlay struct {
	instances, extra int
	// rate is the number of requests a second at all instances, of which repeatable may be sent
	// again, up to attempts times in all.
	rate, repeatable float64
	attempts         int
	// failing is the part of sends that fail between failFrom and failTo.
	failing          float64
	failFrom, failTo time.Duration
	kills            []totalKill
	// burst multiplies the rate of requests between burstFrom and burstTo.
	burst              float64
	burstFrom, burstTo time.Duration
	// movedAt is when the requests to half of the instances move to the other half.
	movedAt time.Duration
	// maxDelay bounds the time from the grant of a retry to its arrival at a server.
	maxDelay time.Duration
	way      totalWay
}

// totalWay is how instances share the bound.
type totalWay struct {
	name  string
	share float64
	rule  requestShare
}

// totalKill is the end of a part of the instances, which start again after a while.
type totalKill struct {
	at, downFor time.Duration
	part        float64
}

// totalResult is what callers and the bound see.
type totalResult struct {
	// failed is the part of the requests that were not served in the time of failures, and excess
	// the largest number of retries in a window above the bound.
	failed float64
	excess int
}

// totalRun is the state of one play.
type totalRun struct {
	totalPlay

	random  *rand.Rand
	budgets []*Budgets
	// downUntil is when an instance that was killed is back.
	downUntil []time.Duration
	// requests and retries are counted by step.
	requests, retries []countAt
	wanted, failed    int
}

func (p totalPlay) run(seed uint64) totalResult {
	steps := int(p.failTo / totalStep)
	r := &totalRun{
		totalPlay: p, random: rand.New(rand.NewPCG(seed, 1)), budgets: make([]*Budgets, p.instances), downUntil: make([]time.Duration, p.instances),
		requests: make([]countAt, steps), retries: make([]countAt, steps),
	}

	for step := range steps {
		at := testStart.Add(time.Duration(step) * totalStep)
		r.requests[step].at, r.retries[step].at = at, at
	}

	for i := range r.budgets {
		r.start(i, -2*totalWindow)
	}

	for step := range steps {
		r.advance(step)
	}

	return totalResult{failed: float64(r.failed) / float64(max(r.wanted, 1)), excess: r.excess()}
}

func (r *totalRun) start(i int, at time.Duration) {
	now := testStart.Add(at)
	r.budgets[i] = NewSharedBudgets(BudgetPolicy{Window: totalWindow, Share: r.way.share}, now)
	r.budgets[i].share = r.way.rule
	r.budgets[i].SetMinRetries(now, float64(r.extra)/float64(r.instances))
}

func (r *totalRun) advance(step int) {
	at := time.Duration(step) * totalStep

	for len(r.kills) > 0 && at >= r.kills[0].at {
		for _, i := range r.random.Perm(r.instances)[:int(r.kills[0].part*float64(r.instances))] {
			r.downUntil[i] = at + r.kills[0].downFor
			r.start(i, r.downUntil[i])
		}

		r.kills = r.kills[1:]
	}

	rate := r.rate
	if r.burst > 0 && at >= r.burstFrom && at < r.burstTo {
		rate *= r.burst
	}

	// The number of requests is that of a Poisson process.
	for left := rate * totalStep.Seconds(); ; {
		left -= r.random.ExpFloat64()
		if left < 0 {
			return
		}

		r.request(step, at)
	}
}

// request plays one request to an instance that is up.
func (r *totalRun) request(step int, at time.Duration) {
	r.requests[step].n++

	among := r.instances
	if r.movedAt > 0 && at >= r.movedAt {
		among /= 2
	}

	i := r.random.IntN(among)
	if at < r.downUntil[i] {
		// The caller meets another instance, if one is up.
		i = r.random.IntN(among)
	}

	if at < r.downUntil[i] {
		return
	}

	now := testStart.Add(at)
	budget := r.budgets[i].Of(testScope)
	budget.CountRequest(now)

	if at < r.failFrom || r.random.Float64() >= r.repeatable {
		return
	}

	r.wanted++

	for attempt := 1; r.random.Float64() < r.failing; attempt++ {
		if attempt >= r.attempts || !budget.Take(now) {
			r.failed++

			return
		}

		arrives := step + int(r.random.Float64()*float64(r.maxDelay/totalStep))
		r.retries[min(arrives, len(r.retries)-1)].n++
	}
}

// excess returns the largest number of retries in a window above the bound.
func (r *totalRun) excess() int {
	excess := 0

	for _, last := range r.retries {
		excess = max(excess, sumWithin(r.retries, last.at)-r.extra-boundOn(r.requests, last.at))
	}

	return excess
}

// totalSeeds is the number of seeds that a model is run with.
const totalSeeds = 5

// runs returns the mean of what callers lose over the seeds, and the most of what exceeds the bound.
func (p totalPlay) runs() totalResult {
	var all totalResult

	for seed := range uint64(totalSeeds) {
		got := p.run(seed)
		all.failed, all.excess = all.failed+got.failed/totalSeeds, max(all.excess, got.excess)
	}

	return all
}

// killAllAt ends all instances at a time, for half a second.
func killAllAt(at time.Duration) []totalKill {
	return []totalKill{{at: at, part: 1, downFor: 500 * time.Millisecond}}
}

// Guards against retries of all instances together that exceed their bound since instances that
// were killed, or that requests have left, spent a share of the same window.
func TestTotalRetriesStayWithinBoundModel(t *testing.T) {
	const failFrom = 20 * time.Second

	plays := map[string]totalPlay{
		"nothing else":   {},
		"all are killed": {kills: killAllAt(failFrom + 2600*time.Millisecond)},
		"most are killed each second": {kills: []totalKill{
			{at: failFrom + 1500*time.Millisecond, part: 0.6},
			{at: failFrom + 2500*time.Millisecond, part: 0.6},
			{at: failFrom + 3500*time.Millisecond, part: 0.6},
			{at: failFrom + 4500*time.Millisecond, part: 0.6},
			{at: failFrom + 5500*time.Millisecond, part: 0.6},
		}},
		"half are killed and do not return": {kills: []totalKill{{at: failFrom + 2*time.Second, part: 0.5, downFor: time.Minute}}},
		"all are killed within a burst": {
			kills: killAllAt(failFrom + 3*time.Second),
			burst: 3, burstFrom: failFrom - 11*time.Second, burstTo: failFrom + 20*time.Second,
		},
		"requests move to half of the instances": {movedAt: failFrom + 3*time.Second},
	}

	for _, size := range totalSizes() {
		for name, p := range plays {
			p.instances, p.extra, p.rate = size.instances, size.extra, size.rate
			p.repeatable, p.attempts, p.failing = 1, 2, 0.9
			p.failFrom, p.failTo = failFrom, failFrom+16*time.Second
			p.way = totalWay{share: instanceShare, rule: commonShare{earlierPart}}

			t.Run(fmt.Sprint(size.instances, " instances, ", name), func(t *testing.T) {
				got := p.runs()
				t.Logf("%.3f of the requests fail, %d retries above the bound", got.failed, got.excess)

				if got.excess > 0 {
					t.Errorf("retries above the bound: got %d, want none", got.excess)
				}
			})
		}
	}
}

// Compares what callers lose by the ways to share a bound, and by how many retries all instances
// together exceed it.
func TestWaysToShareRetriesModel(t *testing.T) {
	if os.Getenv("WAYS") != "all" {
		t.Skip("compares ways; run with WAYS=all")
	}

	const failFrom = 20 * time.Second

	killAll := killAllAt(failFrom + 2600*time.Millisecond)
	loads := []struct {
		name string
		totalPlay
	}{
		{"0.9 fail for 16 s", totalPlay{failing: 0.9, repeatable: 1, failTo: 16 * time.Second}},
		{"0.9 fail for 2 s", totalPlay{failing: 0.9, repeatable: 1, failTo: 2 * time.Second}},
		{"0.3 fail for 2 s", totalPlay{failing: 0.3, repeatable: 1, failTo: 2 * time.Second}},
		{"0.3 fail for 16 s", totalPlay{failing: 0.3, repeatable: 1, failTo: 16 * time.Second}},
		{"0.15 fail for 40 s", totalPlay{failing: 0.15, repeatable: 1, failTo: 40 * time.Second}},
		{"0.8 of a fifth fail for 16 s", totalPlay{failing: 0.8, repeatable: 0.2, failTo: 16 * time.Second}},
		{"0.9 fail in a burst that begins with it", totalPlay{failing: 0.9, repeatable: 1, failTo: 6 * time.Second, burst: 3, burstFrom: failFrom, burstTo: time.Minute}},
		{"0.9 fail, all killed", totalPlay{failing: 0.9, repeatable: 1, failTo: 16 * time.Second, kills: killAll}},
		{"0.3 fail, all killed", totalPlay{failing: 0.3, repeatable: 1, failTo: 16 * time.Second, kills: killAll}},
		{"0.8 of a fifth fail, all killed", totalPlay{failing: 0.8, repeatable: 0.2, failTo: 16 * time.Second, kills: killAll}},
	}

	ways := []totalWay{
		{"own window, 0.16", 0.16, ownShare{}},
		{"own window, 0.09", 0.09, ownShare{}},
		{"common, 0.16, before 0.6", 0.16, commonShare{0.6}},
		{"common, 0.18, before 0.5", 0.18, commonShare{0.5}},
		{"common, 0.18, before 0.67", 0.18, commonShare{0.67}},
		{"common, 0.18, before 0.8", 0.18, commonShare{0.8}},
		{"common, 0.18, before 0.9", 0.18, commonShare{0.9}},
		{"common, 0.2, before 0.75", 0.2, commonShare{0.75}},
	}

	for _, size := range totalSizes() {
		for _, load := range loads {
			for _, way := range ways {
				p := load.totalPlay
				p.instances, p.extra, p.rate, p.attempts = size.instances, size.extra, size.rate, 2
				p.failFrom, p.failTo, p.way = failFrom, failFrom+p.failTo, way
				p.maxDelay = 700 * time.Millisecond

				got := p.runs()
				t.Logf("%d instances, %s, %s: %.3f fail, %d above the bound", size.instances, load.name, way.name, got.failed, got.excess)
			}
		}
	}
}

// totalSize is a number of instances, with the fixed number of retries and the requests a second of
// all together.
type totalSize struct {
	instances, extra int
	rate             float64
}

func totalSizes() []totalSize {
	sizes := []totalSize{{9, 60, 54}, {60, 160, 500}, {80, 200, 450}}
	if os.Getenv("SIZES") == "all" {
		sizes = append(sizes, totalSize{200, 440, 640}, totalSize{1000, 1040, 540})
	}

	return sizes
}
