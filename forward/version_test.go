package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
	"monsoonlever/resumption"
	"monsoonlever/upstream"
)

// knownOrigins is an Origins of one instance.
type knownOrigins map[resumption.Stream]resumption.Origin

func (k knownOrigins) Begun(s resumption.Stream, o resumption.Origin, _ time.Duration) { k[s] = o }

func (k knownOrigins) Origin(_ context.Context, s resumption.Stream) (resumption.Origin, error) {
	if o, ok := k[s]; ok {
		return o, nil
	}

	return resumption.Origin{}, resumption.ErrUnknown
}

// newVersionsFixture returns a fixture with model servers of two versions.
func newVersionsFixture(t *testing.T, servers map[string]fleet.Version) *fixture {
	t.Helper()

	s := newFixture(t, 10)
	s.Origins = make(knownOrigins)

	var entries []register.Server
	for address, version := range servers {
		entries = append(entries, register.Server{ID: fleet.InstanceID(address), Service: "llm", Version: version, Address: address, Domain: "a", Slots: 8})
	}

	s.Scheduler.Update(entries)

	return s
}

// Guards against a stream that breaks off and goes on at another version within the same answer.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for range 20 {
		servers := map[string]fleet.Version{"a-1": "v1", "a-2": "v1", "b-1": "v2", "b-2": "v2"}
		s := newVersionsFixture(t, servers)
		s.respond = func(_ string, n int, r *http.Request) string {
			return signedStream(r, 2*n-1, 2*n, n == 1)
		}

		outcome, _ := s.call("talk", "r-1")

		seen := s.arrivals()
		if outcome.Reason != Answered || len(seen) != 2 || servers[seen[0].address] != servers[seen[1].address] {
			t.Fatalf("got %v at %v, want the stream answered by two servers of one version", outcome.Reason, seen)
		}
	}
}

// Guards against a stream that goes on at any version where no other server of its own is left, and
// against one that then looks complete.
func TestBrokenStreamEndsWithoutServerOfItsVersion(t *testing.T) {
	s := newVersionsFixture(t, map[string]fleet.Version{"a-1": "v1", "b-1": "v2"})
	s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, true) }

	outcome, got := s.call("talk", "r-1")

	if n := len(s.arrivals()); n != 1 || outcome.Reason != StreamBroken || len(got.refusals) != 1 {
		t.Errorf("got %v after %d arrivals, want %v after 1", outcome.Reason, n, StreamBroken)
	}
}

// Guards against a further return that takes the attempt before it for the one that began the
// stream: three attempts bring its events, and the third one names the first.
func TestThirdAttemptNamesTheFirst(t *testing.T) {
	servers := map[string]fleet.Version{"a-1": "v1", "a-2": "v1", "b-1": "v2", "b-2": "v2"}

	for range 20 {
		s := newVersionsFixture(t, servers)
		s.respond = func(_ string, n int, r *http.Request) string { return signedStream(r, n, n, false) }

		request := func(id, resumes, after string) *Request {
			return &Request{
				ID: id, Resumes: resumes, ResumeAfter: after, Method: http.MethodPost, Host: "a.example", Target: "/talk/x", Path: "/talk/x",
				APIKey: "key", Arrived: s.clock.Now(),
			}
		}

		s.Serve(t.Context(), request("r-1", "", ""), &recordingSink{})
		s.Serve(t.Context(), request("r-2", "r-1", "1"), &recordingSink{})
		s.Serve(t.Context(), request("r-3", "r-1", "2"), &recordingSink{})

		seen := s.arrivals()
		if len(seen) != 3 || servers[seen[1].address] != servers[seen[0].address] || servers[seen[2].address] != servers[seen[0].address] {
			t.Fatalf("got %v, want three servers of one version", seen)
		}
	}
}

// Guards against a stream of unknown version that takes a part of its account's limit, or reaches a
// server.
func TestUnknownStreamIsNotSent(t *testing.T) {
	s := newVersionsFixture(t, map[string]fleet.Version{"a-1": "v1"})
	s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, false) }
	sink := &recordingSink{}
	outcome := s.Serve(t.Context(), &Request{
		ID: "r-1", Resumes: "r-0", ResumeAfter: "1", Method: http.MethodPost, Host: "a.example", Target: "/talk/x", Path: "/talk/x",
		APIKey: "key", Arrived: s.clock.Now(),
	}, sink)

	if n := len(s.arrivals()); outcome.Reason != UnknownStream || !outcome.NotRun || n != 0 || len(sink.refusals) != 1 || sink.refusals[0].RetryAfter <= 0 {
		t.Errorf("got %v, not run %v, %d arrivals, want %v, not run, none", outcome.Reason, outcome.NotRun, n, UnknownStream)
	}
}

// Guards against a stream that goes on at another service to which its route was moved since.
func TestStreamDoesNotGoOnAtAnotherService(t *testing.T) {
	s := newVersionsFixture(t, map[string]fleet.Version{"a-1": "v1"})
	s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, false) }
	r := &Request{
		ID: "r-2", Resumes: "r-1", ResumeAfter: "1", Method: http.MethodPost, Host: "a.example", Target: "/talk/x", Path: "/talk/x",
		APIKey: "key", Arrived: s.clock.Now(),
	}
	j, _ := s.prepare(t.Context(), r)
	s.Origins.Begun(j.streamOf(), resumption.Origin{Service: "elsewhere", Version: "v1"}, time.Minute)

	if outcome := s.Serve(t.Context(), r, &recordingSink{}); outcome.Reason != NoServer || len(s.arrivals()) != 0 {
		t.Errorf("got %v after %d arrivals, want %v after none", outcome.Reason, len(s.arrivals()), NoServer)
	}

	if got := fmt.Sprint(j.version); got != "" {
		t.Errorf("version of an unknown stream: got %q, want none", got)
	}
}

// Guards against a stream that goes on at any version by way of other instances: the one that lost
// it told the version of its server, which the next one has to obey.
func TestDetourNamesVersionOfStream(t *testing.T) {
	f, detour := newCutFixture(t, func(n int, _ DetourRequest, sink Sink) (DetourResult, error) {
		sink.StreamVersion("v2")
		streamEvents(sink, 2*n-1, 2*n)

		if n == 1 {
			return DetourResult{}, fmt.Errorf("broke: %w", upstream.ErrGarbled)
		}

		return DetourResult{}, nil
	})

	f.Scheduler.Update([]register.Server{
		{ID: "llm-1", Service: "llm", Version: "v1", Address: "llm-1", Domain: "a", Slots: 8},
		{ID: "llm-2", Service: "llm", Version: "v2", Address: "llm-2", Domain: "a", Slots: 8},
	})
	f.losePaths()

	if outcome, _ := f.call("talk", "r"); outcome.Reason != Answered || len(detour.requests) != 2 {
		t.Fatalf("got %v after %d offers, want %v after 2", outcome.Reason, len(detour.requests), Answered)
	}

	if first, second := detour.requests[0].Version, detour.requests[1].Version; first != "" || second != "v2" {
		t.Errorf("versions of the offers: got %q and %q, want none and v2", first, second)
	}
}

// Guards against an instance that sends the rest of another one's stream to any version.
func TestStreamOfOtherInstanceNeedsVersion(t *testing.T) {
	s := newVersionsFixture(t, map[string]fleet.Version{"a-1": "v1"})
	r := s.requestOfOther()
	r.Service, r.Request.Target, r.Request.Path, r.Request.ResumeAfter = "llm", "/talk/x", "/talk/x", "3"

	if _, refusal := s.PrepareDetour(t.Context(), r); refusal == nil || refusal.Reason != UnknownStream || !refusal.NotRun {
		t.Errorf("got %+v, want %v, not run", refusal, UnknownStream)
	}
}

// waitingOrigins is an Origins that waits for its context.
type waitingOrigins struct{ knownOrigins }

func (waitingOrigins) Origin(ctx context.Context, _ resumption.Stream) (resumption.Origin, error) {
	<-ctx.Done()

	return resumption.Origin{}, resumption.ErrUnknown
}

// Guards against a caller that is kept waiting beyond its time until it is known where its stream began.
func TestWaitForOriginEndsBeforeDeadline(t *testing.T) {
	const timeout = 200 * time.Millisecond

	s := newVersionsFixture(t, map[string]fleet.Version{"a-1": "v1"})
	s.Origins = waitingOrigins{}
	began := time.Now()

	outcome := s.Serve(t.Context(), &Request{
		ID: "r", Method: http.MethodPost, Host: "a.example", Target: "/talk/x", Path: "/talk/x", APIKey: "key",
		Arrived: s.clock.Now(), Timeout: timeout, ResumeAfter: "4", Resumes: "first",
	}, &recordingSink{})

	if took := time.Since(began); outcome.Reason != UnknownStream || took > timeout {
		t.Errorf("got %v after %v, want %v within %v", outcome.Reason, took, UnknownStream, timeout)
	}
}
