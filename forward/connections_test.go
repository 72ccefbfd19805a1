package forward

import (
	"net/http"
	"sync"
	"testing"
)

// fillConnections limits the connections to the servers of plain calls to one each, and returns once
// a call holds each of them. The calls end when end is called.
func (s *fixture) fillConnections() (end func()) {
	release, arrived := make(chan struct{}), make(chan struct{}, 2)
	s.respond = func(_ string, _ int, r *http.Request) string {
		if r.Header.Get(idHeader) == "holds" {
			arrived <- struct{}{}
			<-release
		}

		return signedResponse(r, http.StatusOK)
	}

	s.Pool.SetLimit("api-1", 1)
	s.Pool.SetLimit("api-2", 1)

	var group sync.WaitGroup

	for range 2 {
		group.Go(func() { s.call("safe", "holds") })
		<-arrived
	}

	return func() {
		close(release)
		group.Wait()
	}
}

// Guards against servers that are taken for unreachable, and callers that are told so, when all
// connections that this instance may open to them carry requests.
func TestFullConnectionsAreNotALostPath(t *testing.T) {
	s := newFixture(t, 10)
	end := s.fillConnections()

	outcome, _ := s.call("safe", "r-1")
	if outcome.Reason != Overloaded && outcome.Reason != NoServer || !outcome.NotRun {
		t.Errorf("got %v, not run %v, want a refusal as not run", outcome.Reason, outcome.NotRun)
	}

	if got := s.Scheduler.LostPaths(s.clock.Now()); got != 0 {
		t.Errorf("lost paths: got %d, want none", got)
	}

	end()

	if outcome, _ := s.call("safe", "r-2"); outcome.Reason != Answered {
		t.Errorf("with free connections again: got %v, want %v", outcome.Reason, Answered)
	}
}

// Guards against requests that are refused although other instances have free connections, and
// against requests that go from one instance to the next where none has any.
func TestUsedUpConnectionsLeadToOtherInstances(t *testing.T) {
	full := DetourResult{Refusal: &Refusal{Reason: NoServer, NotRun: true}}

	for name, tt := range map[string]struct {
		result  DetourResult
		want    Reason
		offered int
	}{
		"another has some": {result: DetourResult{Servers: []string{"api-1"}}, want: Answered, offered: 1},
		"none has any":     {result: full, want: NoServer, offered: maxFullDetours},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, 10)
			detour := &fakeDetour{serve: func(int, DetourRequest, Sink) (DetourResult, error) { return tt.result, nil }}
			s.Detour = detour

			defer s.fillConnections()()

			outcome, _ := s.call("once", "r-1")
			if outcome.Reason != tt.want || len(detour.requests) != tt.offered {
				t.Errorf("got %v after %d offers, want %v after %d", outcome.Reason, len(detour.requests), tt.want, tt.offered)
			}

			if !s.LacksConnections() {
				t.Error("instance: got one with free connections, want one that lacks them")
			}
		})
	}
}
