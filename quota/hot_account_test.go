package quota

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// newCallModel returns a model of instances with coordinators, or of a single instance.
func newCallModel(instances int, allowances ...Allowance) *callModel {
	m := &callModel{instance: func(random *rand.Rand) int { return random.IntN(instances) }}

	if instances == 1 {
		q := New(Policy{Self: "entry-0", Window: 8 * time.Second, PropagationDelay: 2500 * time.Millisecond})
		q.Configure(allowances)
		q.SetMembers([]fleet.InstanceID{"entry-0"}, nil)
		m.step = func(now time.Time, _ int) { q.MarkSynced(now) }
		m.decide = func(now time.Time, _ int, charge Charge) Decision { return q.Take(now, charge.Account, charge.Cost) }

		return m
	}

	f := newCoordinatedFleet(instances, 1, allowances...)
	m.step, m.decide, m.fleet = f.step, f.decide, f

	return m
}

// allWays reports whether the tests also play the ways that were weighed and not chosen.
func allWays() bool { return os.Getenv("WAYS") == "all" }

// playHot plays an account at six times its usual load, which is a fraction of its rate, and returns
// what its callers get over two seeds, or five with WAYS=all.
func playHot(t *testing.T, instances int, usual float64, name string, allowance Allowance, change func(*callModel)) callResult {
	t.Helper()

	var calls []*call

	seeds := uint64(2)
	if allWays() {
		seeds = 5
	}

	for seed := range seeds {
		m := newCallModel(instances, allowance)
		change(m)

		sent := newCalls(seed, pacedAllowance, usual, true)
		m.play(sent)
		calls = append(calls, sent...)
	}

	r := resultOf(calls)
	t.Logf("%d instances, usual %.2f of the rate, %s: owed %v, all %v, kinds %v, large %v, returning drafts %v, owed by second %v",
		instances, usual, name, r.owed, r.all, r.kinds, r.large, r.returns, r.seconds[4:12])

	return r
}

// An account that sends six times its usual is granted most of what its rate and burst owe it in
// each second. By the window alone it gets all of the tolerance first, and then hardly anything.
func TestHotAccountIsServedWhatItIsOwed(t *testing.T) {
	for _, instances := range []int{9, 72} {
		for _, usual := range []float64{0.5, 0.75, 0.95} {
			window := playHot(t, instances, usual, "window", windowAllowance, func(*callModel) {})
			paced := playHot(t, instances, usual, "paced", pacedAllowance, func(*callModel) {})
			unranked := playHot(t, instances, usual, "without priorities", pacedAllowance, func(m *callModel) { m.unranked = true })

			if allWays() {
				playHot(t, instances, usual, "held 400 ms", pacedAllowance, func(m *callModel) { m.hold = 400 * time.Millisecond })
			}

			if got, want := paced.owed.ratio(), max(window.owed.ratio(), 0.9); got < want {
				t.Errorf("granted of what is owed: got %.3f, want at least %.3f", got, want)
			}

			if got, want := paced.kinds[0].ratio(), unranked.kinds[0].ratio(); got < want {
				t.Errorf("questions granted: got %.3f, want at least the %.3f without priorities", got, want)
			}

			if got := paced.kinds[0].ratio(); usual < 0.6 && got < 0.97 {
				t.Errorf("questions granted where they take little of the rate: got %.3f, want at least 0.97", got)
			}

			for second, got := range paced.seconds[4:10] {
				if got.ratio() < 0.8 {
					t.Errorf("granted of what is owed in second %d: got %v, want at least 0.8", second, got)
				}
			}
		}
	}
}

// forgetBookings lets lenders tell each refused caller the time in which the bucket refills for it
// alone, as if no others waited for the same.
func forgetBookings(m *callModel) {
	m.decide = func(now time.Time, instance int, charge Charge) Decision {
		for _, node := range m.fleet.nodes {
			node.quota.accounts[charge.Account].bucket.booked = [priorities]float64{}
		}

		return m.fleet.decide(now, instance, charge)
	}
}

// Callers who honour a Retry-After behind those that were refused before them find room more often
// than callers who return when the bucket has refilled for one of them.
func TestBookedCallersReturnToRoom(t *testing.T) {
	for _, usual := range []float64{0.5, 0.75, 0.95} {
		booked := playHot(t, 72, usual, "booked", pacedAllowance, func(*callModel) {})
		alone := playHot(t, 72, usual, "refill time alone", pacedAllowance, forgetBookings)

		if allWays() {
			playOtherReturns(t, usual)
		}

		if got, want := booked.returns.ratio(), 1.5*alone.returns.ratio(); got < want {
			t.Errorf("returning drafts that were granted: got %.3f, want at least %.3f", got, want)
		}
	}
}

// playOtherReturns plays further ways to tell callers when to return.
func playOtherReturns(t *testing.T, usual float64) {
	t.Helper()

	random := rand.New(rand.NewPCG(6, 6))

	playHot(t, 72, usual, "refill time once or twice", pacedAllowance, func(m *callModel) {
		forgetBookings(m)

		decide := m.decide
		m.decide = func(now time.Time, instance int, charge Charge) Decision {
			d := decide(now, instance, charge)
			if d.RetryAfter > 0 {
				d.RetryAfter = min(d.RetryAfter+time.Duration(random.Int64N(int64(d.RetryAfter))), maxRetryAfter)
			}

			return d
		}
	})
	playHot(t, 72, usual, "always 4 s", pacedAllowance, func(m *callModel) {
		m.decide = func(now time.Time, instance int, charge Charge) Decision {
			d := m.fleet.decide(now, instance, charge)
			d.RetryAfter = maxRetryAfter

			return d
		}
	})
}

// What callers get does not depend on how many instances they ask.
func TestHotAccountAtOneInstanceIsServedAlike(t *testing.T) {
	spread := playHot(t, 72, 0.75, "at all instances", pacedAllowance, func(*callModel) {})
	single := playHot(t, 72, 0.75, "at one instance", pacedAllowance, func(m *callModel) {
		m.instance = func(*rand.Rand) int { return 71 }
	})

	if got, want := single.owed.ratio(), spread.owed.ratio()-0.02; got < want {
		t.Errorf("granted of what is owed: got %.3f at one instance, want at least %.3f", got, want)
	}
}

// One instance grants from a single share, without lenders: a burst changes nothing there.
func TestSingleInstancePacesNothing(t *testing.T) {
	window := playHot(t, 1, 0.75, "window", windowAllowance, func(*callModel) {})
	paced := playHot(t, 1, 0.75, "with a burst", pacedAllowance, func(*callModel) {})

	if !slices.Equal(paced.kinds, window.kinds) || !slices.Equal(paced.seconds, window.seconds) {
		t.Errorf("with a burst: got %v by second, want the %v without", paced.seconds, window.seconds)
	}
}

// Fifteen other accounts get as much beside an account that sends six times its usual as they get
// without it.
func TestOtherAccountsKeepWhatTheyGet(t *testing.T) {
	const others = 15

	for _, instances := range []int{1, 9, 72} {
		granted := func(hot bool) float64 {
			allowances := []Allowance{pacedAllowance}
			calls := newCalls(1, pacedAllowance, 0.75, hot)

			for i := range others {
				other := pacedAllowance
				other.Account = fleet.Account(fmt.Sprint("other-", i))
				allowances = append(allowances, other)
				calls = append(calls, newCalls(uint64(i+2), other, 0.75, false)...)
			}

			m := newCallModel(instances, allowances...)
			m.play(calls)

			return resultOf(slices.DeleteFunc(calls, func(c *call) bool { return c.account == pacedAllowance.Account })).all.ratio()
		}

		got, want := granted(true), granted(false)
		t.Logf("%d instances: others are granted %.3f beside the hot account, %.3f without it", instances, got, want)

		if got < want-0.02 {
			t.Errorf("%d instances: others are granted %.3f beside the hot account, want %.3f", instances, got, want)
		}
	}
}
