package forward

import (
	"context"
	"testing"
	"time"

	"monsoonlever/quota"
)

// pacedLimits refuses every request, since the account's bucket is empty.
type pacedLimits struct{ charge quota.Charge }

func (l *pacedLimits) Take(_ context.Context, charge quota.Charge) quota.Decision {
	l.charge = charge

	return quota.Decision{Paced: true, Lender: "entry-3", RetryAfter: 1200 * time.Millisecond}
}

// The log line of a request that its account's lender refused names what decided.
func TestPacedRefusalNamesItsCause(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	limits := &pacedLimits{}
	s.Limits = limits
	s.rules.Store(rulesWithLimit(t, 100))

	outcome, got := s.call("once", "r-1")

	want := "cost 1, priority 0, paced by entry-3 for 1.2s"
	if outcome.Reason != OverLimit || !outcome.NotRun || outcome.Cause != want {
		t.Errorf("outcome: got %+v, want it over the limit with the cause %q", outcome, want)
	}

	if len(got.refusals) != 1 || got.refusals[0].RetryAfter != 1200*time.Millisecond || len(s.arrivals()) != 0 {
		t.Errorf("refusals: got %+v and %d arrivals, want one with a Retry-After of 1.2 s", got.refusals, len(s.arrivals()))
	}
}
