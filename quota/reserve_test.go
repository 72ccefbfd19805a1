package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
)

// largeFleetPolicy is the policy of a large fleet, in which updates take longer.
var largeFleetPolicy = Policy{
	Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
	DirectDelay: func(int) time.Duration { return 1500 * time.Millisecond },
}

// An account that demands half of its limit at many instances, occasionally with a fifteenth
// of the whole in one request, is almost always served, although no instance's share covers
// such a request.
func TestLargeRequestsAreServedInLargeFleet(t *testing.T) {
	const instances = 80

	g := newLendingGroup(instances, largeFleetPolicy)
	random := rand.New(rand.NewPCG(9, 9))
	asked, refused, large, largeRefused := 0, 0, 0, 0

	for tick := range 400 {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		g.exchange(now, tick)

		// 3 requests of 10,000 tokens a second are half of the allowance in 8 s.
		for range random.IntN(2) {
			if random.IntN(3) > 1 {
				continue
			}

			cost := 2000 + random.ExpFloat64()*8_000
			if random.IntN(15) == 0 {
				cost = amount / 15
			}

			granted := g.take(now, random.IntN(instances), cost).Granted
			asked++

			if !granted {
				refused++
			}

			if cost == amount/15 {
				large++

				if !granted {
					largeRefused++
				}
			}
		}
	}

	if most := asked * 10 / 100; refused > most {
		t.Errorf("refused: got %d of %d, want at most %d", refused, asked, most)
	}

	if most := large / 4; largeRefused > most {
		t.Errorf("large requests refused: got %d of %d, want at most %d", largeRefused, large, most)
	}
}

func TestAllInstancesAgreeOnLenders(t *testing.T) {
	g := newLendingGroup(30, largeFleetPolicy)
	want := g.quotas[0].Lenders("a")

	if len(want) != reserveHolders {
		t.Fatalf("lenders: got %v, want %d", want, reserveHolders)
	}

	for i, q := range g.quotas {
		if got := q.Lenders("a"); got[0] != want[0] || got[1] != want[1] {
			t.Errorf("lenders by instance %d: got %v, want %v", i, got, want)
		}
	}

	var left []fleet.InstanceID

	for _, id := range g.ids {
		if id != want[0] {
			left = append(left, id)
		}
	}

	recorders := slices.DeleteFunc(slices.Clone(g.ids[:5]), func(id fleet.InstanceID) bool { return id == want[0] })
	g.quotas[3].SetMembers(left, recorders)

	if got := g.quotas[3].Lenders("a"); got[0] != want[1] {
		t.Errorf("lenders after one has left: got %v, want %v to stay", got, want[1])
	}
}

// loanPair is a borrower and a lender.
type loanPair struct {
	borrower, lender *Limiter
	requests         int
	dropRequests     bool
}

func newLoanPair(clk clock.Clock) *loanPair {
	d := &loanPair{}
	quotas := make(map[fleet.InstanceID]*Quota)
	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}

	for _, id := range ids {
		q := New(Policy{Self: id, Window: 8 * time.Second, PropagationDelay: 2 * time.Second})
		q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
		q.SetMembers(ids, nil)
		q.MarkSynced(clk.Now())
		quotas[id] = q
	}

	lender := quotas["entry-1"].Lenders("a")[0]
	borrower := ids[0]

	for _, id := range ids {
		if id != lender && id != quotas["entry-1"].Lenders("a")[1] {
			borrower = id
		}
	}

	d.lender = &Limiter{Quota: quotas[lender], Clock: clk, Self: lender}
	d.borrower = &Limiter{Quota: quotas[borrower], Clock: clk, Self: borrower, Send: func(to fleet.InstanceID, request LoanRequest) {
		d.requests++

		if to == lender && !d.dropRequests {
			d.borrower.HandleResponse(d.lender.HandleRequest(request))
		}
	}}

	return d
}

func TestLoanCountsAsConsumptionOfLender(t *testing.T) {
	clk := clock.NewSteady()
	d := newLoanPair(clk)

	got := d.borrower.Take(context.Background(), Charge{Account: "a", Cost: amount / 5})
	if !got.Granted || got.Lender != d.lender.Self {
		t.Fatalf("large request: got %+v, want it borrowed from %s", got, d.lender.Self)
	}

	if consumption := d.lender.Quota.Consumption(clk.Now()); len(consumption) != 1 || consumption[0].Total != amount/5 {
		t.Errorf("consumed by the lender: got %+v, want %d", consumption, amount/5)
	}

	for _, s := range d.borrower.Quota.Consumption(clk.Now()) {
		if s.Total != 0 {
			t.Errorf("consumed by the borrower: got %.0f, want 0", s.Total)
		}
	}
}

// An instance that is cut off and accepts no requests lends nothing: others may have replaced
// it.
func TestLenderThatIsNotCurrentLendsNothing(t *testing.T) {
	d := newLoanPair(clock.NewSteady())
	current := false
	d.lender.Current = func() bool { return current }

	if got := d.lender.HandleRequest(LoanRequest{From: d.borrower.Self, Account: "a", Cost: 100}); got.Granted {
		t.Error("while it is not current: got a loan, want none")
	}

	current = true

	if got := d.lender.HandleRequest(LoanRequest{From: d.borrower.Self, Account: "a", Cost: 100}); !got.Granted {
		t.Error("once it is current: got no loan, want one")
	}
}

func TestLostLoanRequestIsRefusedWithinTimeout(t *testing.T) {
	d := newLoanPair(clock.NewSteady())
	d.dropRequests = true
	started := time.Now()

	if got := d.borrower.Take(context.Background(), Charge{Account: "a", Cost: amount / 5}); got.Granted || got.RetryAfter <= 0 {
		t.Errorf("no response: got %+v, want a refusal with RetryAfter", got)
	}

	if took, most := time.Since(started), (reserveHolders+1)*gossip.ReplyTimeout; took > most {
		t.Errorf("refused after %v, want at most %v", took, most)
	}

	sent := d.requests

	if got := d.borrower.Take(context.Background(), Charge{Account: "a", Cost: amount / 5}); got.Granted || d.requests != sent {
		t.Errorf("right after: got %+v and %d requests, want a refusal without one", got, d.requests-sent)
	}
}

// A request that arrives before the instance has read the records waits for them instead of
// being refused for seconds.
func TestRequestWaitsForFirstSync(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	q := New(Policy{Window: 8 * time.Second, PropagationDelay: time.Second})
	q.Configure([]Allowance{{Account: "acme", Amount: 100_000, Rate: 10_000}})

	loans := &Limiter{Quota: q, Clock: clk, Self: "entry-1", Send: func(fleet.InstanceID, LoanRequest) {}}
	decided := make(chan Decision)
	take := func() { decided <- loans.Take(t.Context(), Charge{Account: "acme", Cost: 100}) }

	go take()

	select {
	case d := <-decided:
		t.Fatalf("before the first sync: got %+v, want no decision yet", d)
	case <-time.After(20 * time.Millisecond):
	}

	q.SetMembers([]fleet.InstanceID{"entry-1"}, nil)
	q.MarkSynced(clk.Now())

	if d := <-decided; !d.Granted {
		t.Errorf("after the first sync: got %+v, want it granted", d)
	}
}

// A store that does not respond must not delay requests without bound.
func TestWaitForFirstSyncIsBounded(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	q := New(Policy{Window: 8 * time.Second, PropagationDelay: time.Second})
	q.Configure([]Allowance{{Account: "acme", Amount: 100_000, Rate: 10_000}})

	loans := &Limiter{Quota: q, Clock: clk, Self: "entry-1", Send: func(fleet.InstanceID, LoanRequest) {}}
	decided := make(chan Decision, 1)

	go func() { decided <- loans.Take(t.Context(), Charge{Account: "acme", Cost: 100}) }()

	for waited := time.Duration(0); ; waited += firstSyncTimeout / 10 {
		select {
		case d := <-decided:
			if d.Granted || d.RetryAfter <= 0 {
				t.Errorf("without a sync: got %+v, want it refused with RetryAfter", d)
			}

			return
		case <-time.After(time.Millisecond):
			clk.Advance(firstSyncTimeout / 10)
		}

		if waited > 100*firstSyncTimeout {
			t.Fatal("decision: got none, want one after the timeout")
		}
	}
}

// The requests of an account whose limit was lifted must not be refused at borrowers that have
// not received the new rules yet.
func TestLenderWithoutLimitGrantsLoan(t *testing.T) {
	q := New(Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: time.Second})
	q.Configure([]Allowance{{Account: "acme", Amount: 1000}})
	q.SetMembers([]fleet.InstanceID{"entry-1"}, nil)
	q.MarkSynced(start)

	if got := q.LendTo(start, "entry-2", Charge{Account: "acme", Cost: 5000}); got.Granted {
		t.Error("above the limit: got it granted, want it refused")
	}

	q.Configure(nil)

	if got := q.LendTo(start, "entry-2", Charge{Account: "acme", Cost: 5000}); !got.Granted {
		t.Error("once the limit is lifted: got it refused, want it granted")
	}
}
