package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// budgetWay is how processes that share a bound on retries come by their part of it.
type budgetWay string

const (
	// partAtOnce gives each process its part when it starts, partAfterWindow a window later, and
	// lentParts lets all processes use what any of those has left that have run for a window.
	// wholeParts rounds each part down, and then the share of the requests.
	partAtOnce      budgetWay = "part at once"
	partAfterWindow budgetWay = "part after a window"
	wholeParts      budgetWay = "whole parts after a window"
	lentParts       budgetWay = "lent parts"
)

// restartPlay is a time in which servers fail while instances start again.
type restartPlay struct {
	instances, bound int
	// rate is the number of requests a second of each instance, and failing the part of sends that
	// fail between failFrom and failTo.
	rate, failing    float64
	failFrom, failTo time.Duration
	// restarts are the times at which a part of the instances starts again.
	restarts    []time.Duration
	restartPart float64
}

// restartResult is what callers and the bound see.
type restartResult struct {
	// failed is the part of the requests in the time of failures that were not served, and excess
	// the largest number of retries in a window above the bound.
	failed float64
	excess int
}

func (p restartPlay) run(way budgetWay, seed uint64) restartResult {
	const (
		window = 10 * time.Second
		step   = 50 * time.Millisecond
		share  = 0.2
	)

	random := rand.New(rand.NewPCG(seed, 1))
	policy := BudgetPolicy{Window: window, Share: 0.16}
	part := float64(p.bound) / float64(p.instances)
	if way == wholeParts {
		part = math.Floor(part)
	}

	start := func(now time.Time, old bool) *Budgets {
		if way == partAtOnce {
			b := NewBudgets(policy)
			b.SetMinRetries(now, part)

			return b
		}

		if old {
			now = now.Add(-2 * window)
		}

		b := NewSharedBudgets(policy, now)
		b.SetMinRetries(now, part)

		return b
	}

	budgets := make([]*Budgets, p.instances)
	for i := range budgets {
		budgets[i] = start(testStart, len(p.restarts) == 0 || p.restarts[0] > 0)
	}

	var (
		result                 restartResult
		requestTimes, retries  []time.Time
		wanted, failed, served int
	)

	take := func(now time.Time, i int) bool {
		own := budgets[i].Of(testScope)
		if way == wholeParts && own.sentRetries.Sum(now, retryBuckets) >= int64(policy.Share*float64(own.requests.Sum(now, budgetBuckets)))+int64(budgets[i].MinRetries(now)) {
			return false
		}

		if own.Take(now) {
			return true
		}

		if way != lentParts {
			return false
		}

		for k := range budgets {
			lender := budgets[(i+k)%p.instances].Of(testScope)
			// Only the fixed part is lent.
			if float64(lender.sentRetries.Sum(now, retryBuckets)) < math.Floor(budgets[(i+k)%p.instances].MinRetries(now)) && lender.Take(now) {
				return true
			}
		}

		return false
	}

	for at := time.Duration(0); at < p.failTo; at += step {
		now := testStart.Add(at)

		for len(p.restarts) > 0 && at >= p.restarts[0] {
			if p.restarts[0] > 0 {
				for _, i := range random.Perm(p.instances)[:int(p.restartPart*float64(p.instances))] {
					budgets[i] = start(now, false)
				}
			}

			p.restarts = p.restarts[1:]
		}

		for i := range budgets {
			if random.Float64() >= p.rate*step.Seconds() {
				continue
			}

			budgets[i].Of(testScope).CountRequest(now)
			requestTimes = append(requestTimes, now)

			if at < p.failFrom {
				continue
			}

			wanted++

			switch {
			case random.Float64() >= p.failing:
				served++
			case !take(now, i):
				failed++
			default:
				retries = append(retries, now)

				if random.Float64() < p.failing {
					failed++
				} else {
					served++
				}
			}
		}

		within := func(times []time.Time) (n int) {
			for j := len(times) - 1; j >= 0 && now.Sub(times[j]) <= window; j-- {
				n++
			}

			return n
		}
		result.excess = max(result.excess, within(retries)-p.bound-int(share*float64(within(requestTimes))))
	}

	result.failed = float64(failed) / float64(max(failed+served, 1))

	return result
}

// Compares what callers lose by the ways to share a bound while servers fail and instances start
// again, and guards against a bound that is exceeded.
func TestSharedBudgetOverRestartsModel(t *testing.T) {
	for _, size := range []struct {
		instances, bound int
		rate             float64
	}{{9, 58, 6}, {195, 430, 3.3}} {
		if size.instances > 9 && os.Getenv("SIZES") != "all" {
			continue
		}

		for name, p := range map[string]restartPlay{
			"half restarted three times": {restarts: []time.Duration{13 * time.Second, 16 * time.Second, 19 * time.Second}, restartPart: 0.5, failFrom: 10 * time.Second},
			"all started":                {restarts: []time.Duration{0}},
			"none restarted":             {failFrom: 10 * time.Second},
		} {
			p.instances, p.bound, p.rate, p.failing = size.instances, size.bound, size.rate, 0.6
			p.failTo = p.failFrom + 16*time.Second

			t.Run(fmt.Sprint(size.instances, " instances, ", name), func(t *testing.T) {
				for _, way := range []budgetWay{partAtOnce, wholeParts, partAfterWindow, lentParts} {
					const seeds = 10

					sum, excess := 0.0, 0

					for seed := range uint64(seeds) {
						got := p.run(way, seed)
						sum, excess = sum+got.failed, max(excess, got.excess)
					}

					t.Logf("%s: %.3f of the requests fail, %d retries above the bound", way, sum/seeds, excess)

					if way != partAtOnce && excess > 0 {
						t.Errorf("%s: got %d retries above the bound, want none", way, excess)
					}
				}
			})
		}
	}
}

// At a part of failures that lasts, callers lose little to the division of the bound among many
// instances with few requests each.
func TestManyInstancesUseMostOfSharedBudgetModel(t *testing.T) {
	for _, rate := range []float64{0.6, 1.2, 2.7} {
		p := restartPlay{instances: 66, bound: 172, rate: rate, failing: 0.14, failTo: 40 * time.Second}

		for _, way := range []budgetWay{wholeParts, partAfterWindow, lentParts} {
			const seeds = 10

			sum, excess := 0.0, 0

			for seed := range uint64(seeds) {
				got := p.run(way, seed)
				sum, excess = sum+got.failed, max(excess, got.excess)
			}

			t.Logf("%v requests a second, %s: %.4f of the requests fail, %d retries above the bound", rate, way, sum/seeds, excess)

			if excess > 0 {
				t.Errorf("%v requests a second, %s: got %d retries above the bound, want none", rate, way, excess)
			}
		}
	}
}
