package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// While the first lender of an account at three times its rate is lost, cut off or without the
// store, the next one goes on from the same level: nobody gets a second burst, or nothing.
func TestNextLenderGoesOnFromTheSameLevel(t *testing.T) {
	const (
		instances   = 9
		faultTick   = 60
		recoverTick = 90
	)

	for name, fault := range map[string]func(*coordinatedNode, time.Time){
		"killed":       func(n *coordinatedNode, _ time.Time) { n.killed = true },
		"cut off":      func(n *coordinatedNode, until time.Time) { n.partitionedUntil, n.storeDownUntil = until, until },
		"partitioned":  func(n *coordinatedNode, until time.Time) { n.partitionedUntil = until },
		"no store":     func(n *coordinatedNode, until time.Time) { n.storeDownUntil = until },
		"undisturbed":  func(*coordinatedNode, time.Time) {},
		"rules change": func(n *coordinatedNode, _ time.Time) { n.quota.Configure([]Allowance{pacedAllowance}) },
	} {
		random := rand.New(rand.NewPCG(8, 8))
		f := newCoordinatedFleet(instances, 8, pacedAllowance)
		at := func(tick int) time.Time { return start.Add(time.Duration(tick) * 100 * time.Millisecond) }
		granted := make([]float64, 15)

		for tick := 1; tick < 150; tick++ {
			now := at(tick)
			f.step(now, tick)

			if tick == faultTick {
				first := f.nodes[8].quota.Lenders("a")[0]
				i := slices.IndexFunc(f.nodes, func(n *coordinatedNode) bool { return n.id == first })
				fault(f.nodes[i], at(recoverTick))
			}

			for range 20 {
				// The callers' own instances stay up.
				if cost := 540 * random.ExpFloat64(); tick >= 20 && f.take(now, 5+random.IntN(4), cost) {
					granted[tick/10] += cost
				}
			}
		}

		for second, got := range granted {
			if second < 5 {
				continue
			}

			if most := pacedAllowance.Rate + pacedAllowance.Burst; got > most {
				t.Errorf("%s: granted in second %d: got %.0f, want at most %.0f", name, second, got, most)
			}

			// While a coordinator is silent, until it is replaced, the window bounds what the others
			// lend within the propagation delay.
			if least := 0.8 * pacedAllowance.Rate; got < least && name != "killed" {
				t.Errorf("%s: granted in second %d: got %.0f, want at least %.0f", name, second, got, least)
			}
		}

		total := 0.0
		for _, got := range granted[5:] {
			total += got
		}

		rate, burst := pacedAllowance.Rate, pacedAllowance.Burst
		if total < 0.9*10*rate || total > 10*rate+burst {
			t.Errorf("%s: granted in 10 s: got %.0f, want between %.0f and %.0f", name, total, 0.9*10*rate, 10*rate+burst)
		}

		t.Logf("%s: granted by second %.0f", name, granted)
	}
}

// A coordinator that has just started paces by what was consumed before, as the records state it.
func TestNewCoordinatorPacesByRecords(t *testing.T) {
	for _, tc := range []struct {
		name     string
		consumed float64
		want     bool
	}{
		{"at its usual load", 8 * 20_000, true},
		{"at its rate and burst", 8*36_000 + 72_000, false},
	} {
		ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3"}
		q := New(Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: 2 * time.Second})
		q.Configure([]Allowance{pacedAllowance})
		q.RestoreInstance("entry-2", 1, start, []Consumption{{Account: "a", Total: tc.consumed, Recent: tc.consumed, Ages: []uint32{uint32(tc.consumed)}}}, 0)
		q.SetCoordinators(start, ids)
		q.MarkSynced(start)
		q.Acknowledged(start, "entry-2")
		q.Acknowledged(start, "entry-3")

		got := q.LendTo(start, "entry-9", Charge{Account: "a", Cost: 1000})
		if got.Granted != tc.want || got.Paced == tc.want {
			t.Errorf("%s: got %+v, want granted %t", tc.name, got, tc.want)
		}
	}
}

// An instance that becomes a coordinator again does not go on from the level that it knew.
func TestLevelIsForgottenWhileOthersCoordinate(t *testing.T) {
	q := New(Policy{Self: "entry-1", Window: 8 * time.Second})
	q.Configure([]Allowance{pacedAllowance})
	q.SetCoordinators(start, []fleet.InstanceID{"entry-1"})
	q.accounts["a"].bucket = *newFullBucket()
	q.SetCoordinators(start, []fleet.InstanceID{"entry-2"})
	q.SetCoordinators(start, []fleet.InstanceID{"entry-1"})

	if q.accounts["a"].bucket.known {
		t.Error("level after others coordinated: got it known, want it unknown")
	}
}

// Rules that change the rate or the burst keep the level, within the new burst. Without a burst it
// is forgotten, and an account that is removed leaves none.
func TestRulesChangeKeepsLevel(t *testing.T) {
	q := New(Policy{Self: "entry-1", Window: 8 * time.Second})
	q.SetCoordinators(start, []fleet.InstanceID{"entry-1"})
	q.Configure([]Allowance{pacedAllowance})
	q.accounts["a"].bucket = *newFullBucket()

	level := func() float64 {
		q.updateBucket(start, q.accounts["a"])

		return q.accounts["a"].bucket.level
	}

	q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 100_000, Burst: 200_000}})

	if got := level(); got != 72_000 {
		t.Errorf("level with a larger burst: got %.0f, want 72,000", got)
	}

	q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 10_000, Burst: 10_000}})

	if got := level(); got != 10_000 {
		t.Errorf("level with a smaller burst: got %.0f, want 10,000", got)
	}

	q.Configure([]Allowance{windowAllowance})

	if q.accounts["a"].bucket.known {
		t.Error("level without a burst: got it known, want it unknown")
	}

	q.Configure(nil)

	if got := q.LendTo(start, "entry-2", Charge{Account: "a", Cost: 1000}); got.Paced {
		t.Errorf("account that is removed: got %+v, want it not paced", got)
	}
}
