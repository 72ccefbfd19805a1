package quota

import (
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// newCoordinator returns an instance that is connected to the three coordinators. It is one of them
// if self is.
func newCoordinator(now time.Time, self fleet.InstanceID, allowances ...Allowance) *Quota {
	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3"}
	q := New(Policy{Self: self, Window: 8 * time.Second, PropagationDelay: 2 * time.Second, DirectDelay: func(int) time.Duration { return time.Second }})
	q.Configure(allowances)
	q.SetCoordinators(now, ids)
	q.MarkSynced(now)

	for _, id := range ids {
		if id != self {
			q.Acknowledged(now, id)
		}
	}

	return q
}

// newPacedBorrower returns an instance that is no coordinator, its first lender, and how many
// requests it sends to other lenders. answer may change the responses of the first.
func newPacedBorrower(clk clock.Clock, answer func(*LoanResponse)) (borrower *Limiter, lender *Quota, others *int) {
	borrower = &Limiter{Quota: newCoordinator(clk.Now(), "entry-9", pacedAllowance), Clock: clk, Self: "entry-9"}
	first := borrower.Quota.Lenders("a")[0]
	lender = newCoordinator(clk.Now(), first, pacedAllowance)
	others = new(int)
	limiter := &Limiter{Quota: lender, Clock: clk, Self: first}
	borrower.Send = func(to fleet.InstanceID, request LoanRequest) {
		response := LoanResponse{Number: request.Number}

		if to == first {
			response = limiter.HandleRequest(request)
			answer(&response)
		} else {
			*others++
		}

		borrower.HandleResponse(response)
	}

	return borrower, lender, others
}

// A refusal by the bucket is final: the other lenders would spend what they do not know to be
// consumed.
func TestPacedRefusalAsksNoOtherLender(t *testing.T) {
	clk := clock.NewManual(start)
	borrower, lender, others := newPacedBorrower(clk, func(*LoanResponse) {})
	first := borrower.Quota.Lenders("a")[0]

	if got := borrower.Take(t.Context(), Charge{Account: "a", Cost: 100}); !got.Granted || got.Lender != first {
		t.Fatalf("with a full bucket: got %+v, want it granted by %s", got, first)
	}

	lender.accounts["a"].bucket.level = -36_000

	got := borrower.Take(t.Context(), Charge{Account: "a", Cost: 3600, Priority: 1})
	if got.Granted || !got.Paced || got.Lender != first || got.RetryAfter != 1200*time.Millisecond {
		t.Errorf("in debt: got %+v, want it paced by %s for 1.2 s", got, first)
	}

	if *others != 0 {
		t.Errorf("requests to other lenders: got %d, want 0", *others)
	}

	// The backoff of refused loans is for those that the window refuses.
	lender.accounts["a"].bucket.level = 72_000

	if got := borrower.Take(t.Context(), Charge{Account: "a", Cost: 3600}); !got.Granted {
		t.Errorf("right after, with a full bucket: got %+v, want it granted", got)
	}
}

// The response of an earlier version does not tell that the bucket refused, so that the other
// lenders are asked as before. A wait beyond all bounds is bounded.
func TestPacedRefusalOfOtherVersions(t *testing.T) {
	for _, tc := range []struct {
		name       string
		pacedFor   time.Duration
		wantOthers int
		want       time.Duration
	}{
		{"without a wait", 0, 2, minRetryAfter},
		{"negative wait", -time.Second, 2, minRetryAfter},
		{"huge wait", time.Duration(1<<63 - 1), 0, maxRetryAfter},
	} {
		clk := clock.NewManual(start)
		borrower, lender, others := newPacedBorrower(clk, func(r *LoanResponse) { r.PacedFor = tc.pacedFor })
		lender.LendTo(clk.Now(), "entry-9", Charge{Account: "a", Cost: 1})
		lender.accounts["a"].bucket.level = -36_000

		if got := borrower.Take(t.Context(), Charge{Account: "a", Cost: 100}); got.Granted || got.RetryAfter != tc.want || *others != tc.wantOthers {
			t.Errorf("%s: got %+v and %d requests to others, want %v and %d", tc.name, got, *others, tc.want, tc.wantOthers)
		}
	}
}

// Costs that are no amount, as only a broken instance asks for, change nothing.
func TestLoanOfNoAmountIsRefused(t *testing.T) {
	clk := clock.NewManual(start)
	_, lender, _ := newPacedBorrower(clk, func(*LoanResponse) {})
	limiter := &Limiter{Quota: lender, Clock: clk, Self: "entry-1"}
	zero := 0.0

	for _, cost := range []float64{0, -1, zero / zero, 1 / zero, -1 / zero} {
		if got := limiter.HandleRequest(LoanRequest{From: "entry-9", Account: "a", Cost: cost}); got.Granted || got.PacedFor != 0 {
			t.Errorf("cost %v: got %+v, want it refused", cost, got)
		}
	}

	if got := limiter.HandleRequest(LoanRequest{From: "entry-9", Account: "a", Cost: 100}); !got.Granted {
		t.Errorf("an amount afterwards: got %+v, want it granted", got)
	}
}

// An operator sees the levels of a few accounts, those that were paced last.
func TestPacedLevelsAreBounded(t *testing.T) {
	names := []fleet.Account{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

	var allowances []Allowance

	for _, name := range names {
		allowances = append(allowances, Allowance{Account: name, Amount: amount, Rate: 36_000, Burst: 72_000})
	}

	q := newCoordinator(start, "entry-1", allowances...)
	now := start

	for _, name := range names {
		now = now.Add(10 * time.Millisecond)
		q.Lend(now, Charge{Account: name, Cost: 100})
		q.accounts[name].bucket.level = 0
		q.Lend(now, Charge{Account: name, Cost: 100})
	}

	levels := q.PacedLevels(now)
	if len(levels) != shownLevels || levels[0].Account() != "j" || levels[0].Level() != 0 {
		t.Errorf("levels: got %+v, want %d from j on", levels, shownLevels)
	}

	if got := q.PacedLevels(now.Add(shownLevelTTL + time.Second)); len(got) != 0 {
		t.Errorf("levels later: got %+v, want none", got)
	}
}
