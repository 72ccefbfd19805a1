package forward

import (
	"context"
	"testing"
	"time"

	"monsoonlever/quota"
)

// fixedLimits decides alike on every request.
type fixedLimits struct{ decision quota.Decision }

func (l *fixedLimits) Take(context.Context, quota.Charge) quota.Decision { return l.decision }

// The log line of a request over its account's limit names what decided.
func TestOverLimitRefusalNamesItsCause(t *testing.T) {
	const wait = 1200 * time.Millisecond

	for _, tc := range []struct {
		decision quota.Decision
		want     string
	}{
		{quota.Decision{RetryAfter: wait, Paced: true, Lender: "entry-3"}, "cost 1, priority 0, paced by entry-3 for 1.2s"},
		{quota.Decision{RetryAfter: wait}, "cost 1, priority 0, no lender granted it"},
		{quota.Decision{RetryAfter: wait, Remaining: 300, Share: 20}, "cost 1, part 20 of 300 left"},
	} {
		s := newFixture(t, 10)
		s.respond = respondOK
		s.Limits = &fixedLimits{decision: tc.decision}
		s.rules.Store(rulesWithLimit(t, 100))

		outcome, got := s.call("once", "r-1")
		if outcome.Reason != OverLimit || !outcome.NotRun || outcome.Cause != tc.want {
			t.Errorf("outcome: got %+v, want it over the limit with the cause %q", outcome, tc.want)
		}

		if len(got.refusals) != 1 || got.refusals[0].RetryAfter != wait || len(s.arrivals()) != 0 {
			t.Errorf("refusals: got %+v and %d arrivals, want one with a Retry-After of %v", got.refusals, len(s.arrivals()), wait)
		}
	}
}
