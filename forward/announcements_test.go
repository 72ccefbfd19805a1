package forward

import (
	"net/http"
	"testing"
	"time"

	"monsoonlever/scheduling"
)

// Guards against a Retry-After that is shorter than the announced backoff of all servers.
func TestRetryAfterCoversBackoffOfAllServers(t *testing.T) {
	const backoff = 3 * time.Second

	s := newFixture(t, 10)
	s.respond = func(_ string, _ int, r *http.Request) string {
		return signedResponse(r, http.StatusServiceUnavailable, notRunHeader+": 1\r\n", backoffHeader+": 3s\r\n")
	}

	for _, id := range []string{"r-1", "r-2"} {
		outcome, got := s.call("once", id)
		if outcome.Reason != Overloaded || !outcome.NotRun || len(got.refusals) != 1 || got.refusals[0].RetryAfter < backoff {
			t.Errorf("%s: got %+v and %+v, want one refusal with a Retry-After of at least %v", id, outcome, got, backoff)
		}
	}

	if got := s.arrivals(); len(got) != 2 {
		t.Errorf("arrivals: got %d, want one at each server", len(got))
	}
}

// Guards against a send to a server that announced that it leaves, or a backoff, while the
// request waited for a connection to it.
func TestSendSkipsServerBlockedDuringDial(t *testing.T) {
	for name, announce := range map[string]func(s *fixture, a *scheduling.Assignment){
		"leaving": func(_ *fixture, a *scheduling.Assignment) { a.AnnouncedLeaving() },
		"backoff": func(s *fixture, a *scheduling.Assignment) { a.AnnouncedBackoff(s.clock.Now(), time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, 10)
			s.respond = respondOK
			first := ""

			s.onDial = func(address string) {
				if first != "" {
					return
				}

				first = address
				announce(s, s.pickServer("api", address))
			}

			outcome, _ := s.call("once", "r")
			seen := s.arrivals()

			if outcome.Reason != Answered || len(seen) != 1 || seen[0].address == first {
				t.Errorf("got %+v and arrivals %v, want one at a server other than %s", outcome, seen, first)
			}
		})
	}
}

// Guards against resuming a stream at a server that announced a backoff.
func TestResumeSkipsServerInBackoff(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = func(_ string, n int, r *http.Request) string {
		switch n {
		case 1:
			return signedResponse(r, http.StatusServiceUnavailable, notRunHeader+": 1\r\n", backoffHeader+": 3s\r\n")
		default:
			return signedStream(r, 1, 2, n == 2)
		}
	}

	outcome, _ := s.call("talk", "r")
	seen := s.arrivals()

	if len(seen) != 2 || seen[0].address == seen[1].address {
		t.Errorf("arrivals: got %v, want the rejected one and one at the other server; %+v", seen, outcome)
	}
}
