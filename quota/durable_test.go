package quota

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// Guards against an account that passes its limit when all instances are lost in an outage of the
// store, in which none of what it consumed is recorded: an account that was idle before has its whole
// burst, and spends it within seconds.
func TestLossOfAllInOutageHoldsWholeBurst(t *testing.T) {
	const (
		n    = 9
		tick = 100 * time.Millisecond
		cost = 2500
		// recordAge is the age of the newest record when the outage begins, restart the time from the
		// loss of all until their successors start, and restored how long after that the store serves
		// them what was recorded.
		recordAge, restart, restored = 1500 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond
		// lossDelay is the longest time from the begin of the outage until the loss of all.
		lossDelay = 8 * time.Second
	)

	for _, perSecond := range []int{20_000, 84_000, 120_000, 400_000} {
		for lostAfter := time.Second; lostAfter <= lossDelay; lostAfter += time.Second {
			t.Run(fmt.Sprintf("%d a second, lost after %v", perSecond, lostAfter), func(t *testing.T) {
				g := newLendingGroup(n, directPolicy)
				now := start

				var (
					earlier EarlierRecords
					grants  []increment
					asked   float64
				)

				for i, q := range g.quotas {
					consumption, global := q.Record(now)
					earlier.Add(g.ids[i], 1, now, consumption, global)
				}

				for _, q := range g.quotas {
					q.Recorded(now)
				}

				// request plays one tick in which the account asks for perSecond.
				request := func() {
					for i := range g.quotas {
						g.broadcast(now, i, g.quotas[i].Consumption(now))
					}

					for asked += float64(perSecond) * tick.Seconds(); asked >= cost; asked -= cost {
						if g.take(now, g.random.IntN(n), cost).Granted {
							grants = append(grants, increment{at: now, amount: cost})
						}
					}

					now = now.Add(tick)
				}

				now = now.Add(recordAge)
				for end := now.Add(lostAfter); now.Before(end); {
					request()
				}

				startedAt := now.Add(restart)
				now = startedAt.Add(restored)
				g = newLendingGroup(n, directPolicy)
				g.incarnation = 2

				for _, q := range g.quotas {
					snapshot := earlier
					snapshot.incarnations = slices.Clone(snapshot.incarnations)
					q.Restore(now, startedAt, &snapshot)
					q.MarkSynced(now)
				}

				for end := now.Add(policy.Window); now.Before(end); {
					request()
				}

				if got := maxInWindow(grants); got > amount {
					t.Errorf("granted in a window: got %.0f, want at most %d", got, amount)
				}
			})
		}
	}
}

// Guards against refusals of an account within its limit that spends a burst faster than a record is
// written, while the store is available.
func TestBurstWaitsForRecord(t *testing.T) {
	const (
		cost        = 2500
		recordDelay = 250 * time.Millisecond
	)

	synctest.Test(t, func(t *testing.T) {
		clk := clock.System{}
		q := New(policy)
		q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
		q.SetMembers([]fleet.InstanceID{"entry-1"}, nil)
		q.MarkSynced(clk.Now())
		q.Recorded(clk.Now())

		time.Sleep(time.Millisecond)

		l := &Limiter{Quota: q, Clock: clk, Self: "entry-1"}
		began := clk.Now()

		time.AfterFunc(recordDelay, func() { q.Recorded(clk.Now()) })

		for spent := 0.0; spent+cost < 2*grantedUnrecordedFraction*amount; spent += cost {
			if d := l.Take(t.Context(), Charge{Account: "a", Cost: cost}); !d.Granted {
				t.Fatalf("after %.0f of %d: got a refusal, want a grant", spent, amount)
			}
		}

		if got := clk.Now().Sub(began); got < recordDelay || got > recordDelay+recordPollInterval {
			t.Errorf("waited: got %v, want %v and at most %v more", got, recordDelay, recordPollInterval)
		}

		// No further record is written: after one request has waited, others are refused at once.
		for l.Take(t.Context(), Charge{Account: "a", Cost: cost}).Granted {
		}

		refusedAt := clk.Now()
		if d := l.Take(t.Context(), Charge{Account: "a", Cost: cost}); d.Granted || clk.Now() != refusedAt {
			t.Errorf("without a record: got granted %v after %v, want a refusal at once", d.Granted, clk.Now().Sub(refusedAt))
		}
	})
}

// Guards against a lender that knows of no earlier consumption, since it read the records a moment before
// the rules that name the accounts.
func TestRecordsReadBeforeRulesAreRestored(t *testing.T) {
	q := New(policy)

	var earlier EarlierRecords

	earlier.Add("entry-1", 1, start, nil, []GlobalConsumption{{Account: "a", Ages: []uint32{0, 0, 0, 0, 0, 0, 0, amount}}})
	q.Restore(start.Add(time.Second), start.Add(time.Second), &earlier)
	q.MarkSynced(start.Add(time.Second))
	q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
	q.SetMembers([]fleet.InstanceID{"entry-2"}, nil)

	if q.Take(start.Add(2*time.Second), "a", 1000).Granted {
		t.Error("granted: got true, want false: the allowance was consumed before the start")
	}
}
