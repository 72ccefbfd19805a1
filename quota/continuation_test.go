package quota

import (
	"testing"
	"time"

	"monsoonlever/clock"
)

// Guards against streams that callers have in part and that newcomers of the same account keep from
// going on.
func TestLenderKeepsReserveForStreamsThatGoOn(t *testing.T) {
	const cost = amount / 20

	for name, continues := range map[string]bool{"a stream that goes on": true, "a newcomer": false} {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			lender := newLoanPair(clk).lender.Quota

			// The lender lends until nothing more may be lent without a record.
			for lender.Lend(clk.Now(), Charge{Account: "a", Cost: cost / 4}).Granted {
			}

			if got := lender.Lend(clk.Now(), Charge{Account: "a", Cost: cost, Continues: continues}); got.Granted {
				t.Fatalf("without a record: got %+v, want it refused", got)
			}

			lender.recordOwn(clk.Now())
			clk.Advance(minRetryAfter)

			granted := 0
			for lender.Lend(clk.Now(), Charge{Account: "a", Cost: cost / 4}).Granted {
				granted++
			}

			got := lender.Lend(clk.Now(), Charge{Account: "a", Cost: cost, Continues: true}).Granted
			if got != continues {
				t.Errorf("after %d newcomers: got the stream granted %t, want %t", granted, got, continues)
			}
		})
	}
}

// Checks that a stream that goes on waits for what is lent again once it is recorded, for a bounded time,
// and that a newcomer is refused at once.
func TestStreamThatGoesOnWaitsForLoan(t *testing.T) {
	// cost is more than the borrower may take by itself.
	const cost = amount / 10

	for name, c := range map[string]struct {
		continues, recorded, granted bool
		most                         time.Duration
	}{
		"a stream that goes on":            {continues: true, recorded: true, granted: true, most: continuationTimeout},
		"a stream that goes on, no record": {continues: true, most: continuationTimeout + 2*continuationInterval},
		"a newcomer":                       {recorded: true, most: continuationInterval},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			d := newLoanPair(clk)

			for d.lender.Quota.Lend(clk.Now(), Charge{Account: "a", Cost: cost / 16}).Granted {
			}

			began, decided := clk.Now(), make(chan Decision, 1)

			go func() {
				decided <- d.borrower.Take(t.Context(), Charge{Account: "a", Cost: cost, Continues: c.continues})
			}()

			for {
				select {
				case got := <-decided:
					if took := clk.Now().Sub(began); got.Granted != c.granted || took > c.most {
						t.Errorf("got granted %t after %v, want %t within %v", got.Granted, took, c.granted, c.most)
					}

					return
				case <-time.After(2 * time.Millisecond):
				}

				clk.Advance(continuationInterval / 10)

				if c.recorded && clk.Now().Sub(began) >= continuationTimeout/2 {
					d.lender.Quota.recordOwn(clk.Now())
				}
			}
		})
	}
}
