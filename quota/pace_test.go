package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An account that asks for six times its rate gets its burst and its rate in each second, whatever
// instances it asks, instead of the whole window at once and then nothing.
func TestPacedAccountIsServedInEachSecond(t *testing.T) {
	const seconds = 12

	random := rand.New(rand.NewPCG(1, 1))
	f := newCoordinatedFleet(72, 1, pacedAllowance)
	perSecond := make([]float64, seconds+2)

	for tick := 1; tick < (seconds+2)*10; tick++ {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		f.step(now, tick)

		for range 20 {
			if cost := 1080 * random.ExpFloat64(); tick >= 20 && f.take(now, random.IntN(72), cost) {
				perSecond[tick/10] += cost
			}
		}
	}

	rate, burst := pacedAllowance.Rate, pacedAllowance.Burst
	if got := perSecond[2]; got < burst || got > burst+1.1*rate {
		t.Errorf("granted in the first second: got %.0f, want the burst of %.0f and at most the rate of %.0f more", got, burst, rate)
	}

	for second, got := range perSecond[4:] {
		if got < 0.9*rate || got > 1.1*rate {
			t.Errorf("granted in second %d: got %.0f, want about %.0f", second+2, got, rate)
		}
	}
}

// Without a burst, decisions are those of the window alone: the priority decides nothing, and nothing
// is paced.
func TestHoldsDecisionsOfWindowWithoutBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(6, 16).Draw(t, "instances")
		seed := rapid.Uint64().Draw(t, "seed")
		ranked, unranked := newCoordinatedFleet(instances, seed, windowAllowance), newCoordinatedFleet(instances, seed, windowAllowance)

		for tick := 1; tick < 120; tick++ {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			ranked.step(now, tick)
			unranked.step(now, tick)

			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			charge := Charge{Account: "a", Cost: rapid.Float64Range(1, 60_000).Draw(t, "cost")}
			want := unranked.decide(now, i, charge)
			charge.Priority = rapid.IntRange(0, 5).Draw(t, "priority")

			// Sums over instances differ in their last digits, by the order of a map.
			got := ranked.decide(now, i, charge)
			if got.Granted != want.Granted || got.Paced || (got.RetryAfter-want.RetryAfter).Abs() > time.Millisecond {
				t.Fatalf("decision at priority %d: got %+v, want %+v", charge.Priority, got, want)
			}
		}

		for _, node := range ranked.nodes {
			if got := node.quota.accounts["a"].bucket; got != (bucket{}) {
				t.Fatalf("bucket: got %+v, want none", got)
			}
		}
	})
}

// Where all members share an allowance, and where it has no burst, lenders pace nothing.
func TestOnlyAllowancesWithBurstArePacedByCoordinators(t *testing.T) {
	for _, tc := range []struct {
		name      string
		allowance Allowance
		quorum    int
		want      bool
	}{
		{"coordinators", pacedAllowance, coordinatorQuorum, true},
		{"members that share", pacedAllowance, 0, false},
		{"no burst", windowAllowance, coordinatorQuorum, false},
		{"no rate", Allowance{Account: "a", Amount: amount, Burst: 72_000}, coordinatorQuorum, false},
		{"negative burst", Allowance{Account: "a", Amount: amount, Rate: 36_000, Burst: -1}, coordinatorQuorum, false},
	} {
		q := New(Policy{})
		q.quorum = tc.quorum

		if got := q.paces(&account{allowance: tc.allowance}); got != tc.want {
			t.Errorf("%s: paces: got %t, want %t", tc.name, got, tc.want)
		}
	}
}
