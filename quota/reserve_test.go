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

// manyPolicy is that of many instances, whose words are slower.
var manyPolicy = Policy{
	Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
	DirectDelay: func(int) time.Duration { return 1500 * time.Millisecond },
}

// An account that asks many instances for half of its limit, now and then with a
// fifteenth of the whole at once, finds room for almost all: no instance's part holds as much.
func TestLargeRequestsFindRoomAtManyInstances(t *testing.T) {
	const instances = 80

	g := newLendingGroup(instances, manyPolicy)
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

func TestAllInstancesNameTheSameHolders(t *testing.T) {
	g := newLendingGroup(30, manyPolicy)
	want := g.quotas[0].Lenders("a")

	if len(want) != holders {
		t.Fatalf("holders: got %v, want %d", want, holders)
	}

	for i, q := range g.quotas {
		if got := q.Lenders("a"); got[0] != want[0] || got[1] != want[1] {
			t.Errorf("holders by instance %d: got %v, want %v", i, got, want)
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
		t.Errorf("holders after one has left: got %v, want %v to stay", got, want[1])
	}
}

// desks are the loans of two instances, of which the second one lends.
type desks struct {
	borrower, lender *Limiter
	asks             int
	lose             bool
}

func newDesks(clk clock.Clock) *desks {
	d := &desks{}
	quotas := make(map[fleet.InstanceID]*Quota)
	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}

	for _, id := range ids {
		q := New(Policy{Self: id, Window: 8 * time.Second, PropagationDelay: 2 * time.Second})
		q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
		q.SetMembers(ids, nil)
		q.MarkSynced(clk.Now())
		quotas[id] = q
	}

	holder := quotas["entry-1"].Lenders("a")[0]
	other := ids[0]

	for _, id := range ids {
		if id != holder && id != quotas["entry-1"].Lenders("a")[1] {
			other = id
		}
	}

	d.lender = &Limiter{Quota: quotas[holder], Clock: clk, Self: holder}
	d.borrower = &Limiter{Quota: quotas[other], Clock: clk, Self: other, Send: func(to fleet.InstanceID, ask LoanRequest) {
		d.asks++

		if to == holder && !d.lose {
			d.borrower.HandleResponse(d.lender.HandleRequest(ask))
		}
	}}

	return d
}

func TestWhatIsBorrowedIsSpentByTheLender(t *testing.T) {
	clk := clock.NewSteady()
	d := newDesks(clk)

	got := d.borrower.Take(context.Background(), "a", amount/5)
	if !got.Granted || got.Lender != d.lender.Self {
		t.Fatalf("large request: got %+v, want it borrowed from %s", got, d.lender.Self)
	}

	if spent := d.lender.Quota.Consumption(clk.Now()); len(spent) != 1 || spent[0].Total != amount/5 {
		t.Errorf("spent by the lender: got %+v, want %d", spent, amount/5)
	}

	for _, s := range d.borrower.Quota.Consumption(clk.Now()) {
		if s.Total != 0 {
			t.Errorf("spent by the borrower: got %.0f, want 0", s.Total)
		}
	}
}

// One that is cut off and takes no requests itself lends nothing: others may have taken its
// place.
func TestALenderThatIsNotCurrentLendsNothing(t *testing.T) {
	d := newDesks(clock.NewSteady())
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

func TestALostQuestionIsARefusalWithinItsPatience(t *testing.T) {
	d := newDesks(clock.NewSteady())
	d.lose = true
	begun := time.Now()

	if got := d.borrower.Take(context.Background(), "a", amount/5); got.Granted || got.RetryAfter <= 0 {
		t.Errorf("nobody answers: got %+v, want a refusal with a time to come back", got)
	}

	if took, most := time.Since(begun), (holders+1)*gossip.ReplyTimeout; took > most {
		t.Errorf("refused after %v, want at most %v", took, most)
	}

	asked := d.asks

	if got := d.borrower.Take(context.Background(), "a", amount/5); got.Granted || d.asks != asked {
		t.Errorf("right after: got %+v and %d questions, want a refusal without one", got, d.asks-asked)
	}
}

// A request that comes to an instance before it has read what the others have spent
// waits for that, and is not sent away for seconds.
func TestARequestWaitsForTheFirstRead(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	q := New(Policy{Window: 8 * time.Second, PropagationDelay: time.Second})
	q.Configure([]Allowance{{Account: "acme", Amount: 100_000, Rate: 10_000}})

	loans := &Limiter{Quota: q, Clock: clk, Self: "entry-1", Send: func(fleet.InstanceID, LoanRequest) {}}
	decided := make(chan Decision)
	take := func() { decided <- loans.Take(t.Context(), "acme", 100) }

	go take()

	select {
	case d := <-decided:
		t.Fatalf("before the first read: got %+v, want no decision yet", d)
	case <-time.After(20 * time.Millisecond):
	}

	q.SetMembers([]fleet.InstanceID{"entry-1"}, nil)
	q.MarkSynced(clk.Now())

	if d := <-decided; !d.Granted {
		t.Errorf("after the first read: got %+v, want it granted", d)
	}
}

// A store that does not answer must not hold requests.
func TestTheWaitForTheFirstReadIsBounded(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	q := New(Policy{Window: 8 * time.Second, PropagationDelay: time.Second})
	q.Configure([]Allowance{{Account: "acme", Amount: 100_000, Rate: 10_000}})

	loans := &Limiter{Quota: q, Clock: clk, Self: "entry-1", Send: func(fleet.InstanceID, LoanRequest) {}}
	decided := make(chan Decision, 1)

	go func() { decided <- loans.Take(t.Context(), "acme", 100) }()

	for waited := time.Duration(0); ; waited += readPatience / 10 {
		select {
		case d := <-decided:
			if d.Granted || d.RetryAfter <= 0 {
				t.Errorf("without a read: got %+v, want it refused with when to come back", d)
			}

			return
		case <-time.After(time.Millisecond):
			clk.Advance(readPatience / 10)
		}

		if waited > 100*readPatience {
			t.Fatal("decision: got none, want one after the time to wait")
		}
	}
}

// An account whose limit was lifted must not be refused to borrowers that have yet to get the new rules.
func TestALenderThatNoLongerLimitsAnAccountLends(t *testing.T) {
	q := New(Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: time.Second})
	q.Configure([]Allowance{{Account: "acme", Amount: 1000}})
	q.SetMembers([]fleet.InstanceID{"entry-1"}, nil)
	q.MarkSynced(start)

	if got := q.LendTo(start, "entry-2", "acme", 5000); got.Granted {
		t.Error("above the limit: got it granted, want it refused")
	}

	q.Configure(nil)

	if got := q.LendTo(start, "entry-2", "acme", 5000); !got.Granted {
		t.Error("once the limit is lifted: got it refused, want it granted")
	}
}
