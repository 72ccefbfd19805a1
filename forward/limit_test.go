package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// fakePermits grants the given number of permits and records all requests for them.
type fakePermits struct {
	mu        sync.Mutex
	left      int
	requested []register.Process
}

func (p *fakePermits) Acquire(_ context.Context, server register.Process, _ ratelimit.Announcement, _ time.Duration) ratelimit.Permit {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.requested = append(p.requested, server)
	p.left--

	return ratelimit.Permit{Granted: p.left >= 0, Wait: time.Minute}
}

// newLimitedFixture returns a fixture whose servers all announced a rate limit, and the source
// of permits for requests to them.
func newLimitedFixture(t *testing.T, grants int) (*fixture, *fakePermits) {
	t.Helper()

	s := newFixture(t, 10)
	permits := &fakePermits{left: grants}
	s.Scheduler.Permits = permits
	s.respond = respondOK

	for _, id := range []fleet.InstanceID{"api-1", "api-2", "llm-1", "llm-2"} {
		s.Scheduler.Merge(register.Process{ID: id}, ratelimit.Announcement{Rate: 1, At: s.clock.Now()})
	}

	return s, permits
}

// Guards against sending a request beyond the rate limits that all servers announced, and
// against refusing it without a Retry-After.
func TestRequestOverServerRateLimitIsRefused(t *testing.T) {
	s, _ := newLimitedFixture(t, 0)

	outcome, got := s.call("once", "r-1")

	if outcome.Reason != Overloaded || !outcome.NotRun || len(got.refusals) != 1 || got.refusals[0].RetryAfter <= 0 {
		t.Errorf("got %+v and %+v, want one refusal Overloaded, not run, with a Retry-After", outcome, got)
	}

	if got := s.arrivals(); len(got) != 0 {
		t.Errorf("arrivals: got %v, want none", got)
	}
}

// Guards against a retry or the rest of a stream being sent without a permit.
func TestEverySendToLimitedServerNeedsPermit(t *testing.T) {
	t.Run("a server that fails", func(t *testing.T) {
		s, permits := newLimitedFixture(t, 1)
		s.respond = func(_ string, _ int, r *http.Request) string {
			return signedResponse(r, http.StatusInternalServerError, limitHeader+": 1\r\n")
		}

		checkSends(t, s, permits, "safe", 1)
	})

	t.Run("a stream that is cut", func(t *testing.T) {
		s, permits := newLimitedFixture(t, 1)
		s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, true) }

		checkSends(t, s, permits, "talk", 1)
	})
}

func checkSends(t *testing.T, s *fixture, permits *fakePermits, route string, want int) {
	t.Helper()
	s.call(route, "r-1")

	if got := len(s.arrivals()); got != want {
		t.Errorf("sends with %d permits: got %d, want %d", want, got, want)
	}

	if got := len(permits.requested); got <= want {
		t.Errorf("requested permits: got %d, want one more than the %d sends", got, want)
	}
}

// Guards against ignoring a rate limit that a response announces or lifts.
func TestAnnouncedRateLimitIsApplied(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = func(_ string, _ int, r *http.Request) string {
		return signedResponse(r, http.StatusOK, limitHeader+": 1.5\r\n")
	}

	s.call("safe", "r-1")

	if got := s.Scheduler.LimitedServers(); got != 1 {
		t.Errorf("limited servers: got %d, want 1", got)
	}

	s.respond = func(_ string, _ int, r *http.Request) string {
		return signedResponse(r, http.StatusOK, limitHeader+": 0\r\n")
	}
	s.clock.Advance(time.Second)

	for range 4 {
		s.call("safe", "r-2")
	}

	if got := s.Scheduler.LimitedServers(); got != 0 {
		t.Errorf("limited servers after it is lifted: got %d, want none", got)
	}
}

// Rejected is not used: no server of these tests is brittle.
func (p *fakePermits) Report(ratelimit.PermitReport) {}
