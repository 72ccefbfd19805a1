package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/register"
	"monsoonlever/retry"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// fakeDetour is a Detour whose results are scripted.
type fakeDetour struct {
	requests []DetourRequest
	// serve serves the n-th request, counted from 1.
	serve func(n int, r DetourRequest, sink Sink) (DetourResult, error)
}

func (d *fakeDetour) Available(fleet.Service) bool { return true }

func (d *fakeDetour) Serve(_ context.Context, r DetourRequest, sink Sink) (DetourResult, error) {
	d.requests = append(d.requests, r)

	return d.serve(len(d.requests), r, sink)
}

// newCutFixture returns a fixture that has lost its paths to all servers.
func newCutFixture(t *testing.T, serve func(n int, r DetourRequest, sink Sink) (DetourResult, error)) (*fixture, *fakeDetour) {
	t.Helper()

	f := newFixture(t, 10)
	detour := &fakeDetour{serve: serve}
	f.Detour = detour
	f.onDial = func(address string) { t.Errorf("connection to %s: got one, want none", address) }

	f.losePaths()

	return f, detour
}

func streamEvents(sink Sink, from, to int) {
	_ = sink.BeginStream(http.StatusOK, http.Header{})

	for id := from; id <= to; id++ {
		_ = sink.WriteEvent(fmt.Appendf(nil, "id: %d\ndata: x\n\n", id))
	}
}

var errSilent = errors.New("other instance is silent")

// Guards against requests that run twice, are repeated where that is not allowed, or are promised
// not to have run, after another instance that took them was lost.
func TestDetourOutcomes(t *testing.T) {
	lost := fmt.Errorf("broke: %w", upstream.ErrGarbled)
	overloaded := DetourResult{Refusal: &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: time.Second}}

	for name, tt := range map[string]struct {
		route   string
		results []DetourResult
		errs    []error
		// events are the first and last event of each result.
		events [][2]int
		calls  int
		want   Reason
		notRun bool
	}{
		"served":                                {route: "once", results: []DetourResult{{Servers: []string{"i-1"}}}, errs: []error{nil}, calls: 1, want: Answered},
		"refused there":                         {route: "once", results: []DetourResult{overloaded}, errs: []error{nil}, calls: 1, want: Overloaded, notRun: true},
		"nobody takes it":                       {route: "once", results: []DetourResult{{}}, errs: []error{ErrNoHelper}, calls: 1, want: NoServer, notRun: true},
		"lost, may not be repeated":             {route: "once", results: []DetourResult{{}}, errs: []error{lost}, calls: 1, want: ResponseLost},
		"lost, may be repeated":                 {route: "safe", results: []DetourResult{{}, {}}, errs: []error{lost, nil}, calls: 2, want: Answered},
		"lost, then refused":                    {route: "safe", results: []DetourResult{{}, overloaded}, errs: []error{lost, nil}, calls: 2, want: ResponseLost},
		"stream lost, may be resumed":           {route: "talk", results: []DetourResult{{}, {}}, errs: []error{lost, nil}, events: [][2]int{{1, 2}, {3, 4}}, calls: 2, want: Answered},
		"stream lost, may not be resumed":       {route: "tell", results: []DetourResult{{}}, errs: []error{lost}, events: [][2]int{{1, 2}}, calls: 1, want: StreamBroken},
		"stream silent: server may be at work":  {route: "talk", results: []DetourResult{{}}, errs: []error{errSilent}, events: [][2]int{{1, 2}}, calls: 1, want: StreamBroken},
		"silent before the first event":         {route: "talk", results: []DetourResult{{}}, errs: []error{errSilent}, calls: 1, want: ResponseLost},
		"the other instance has no path itself": {route: "once", results: []DetourResult{{Refusal: &Refusal{Reason: NoServer, NotRun: true}}, {}}, errs: []error{nil, nil}, calls: 2, want: Answered},
	} {
		t.Run(name, func(t *testing.T) {
			f, detour := newCutFixture(t, func(n int, _ DetourRequest, sink Sink) (DetourResult, error) {
				if n <= len(tt.events) {
					streamEvents(sink, tt.events[n-1][0], tt.events[n-1][1])
				}

				return tt.results[n-1], tt.errs[n-1]
			})

			outcome, got := f.call(tt.route, "r")
			if outcome.Reason != tt.want || outcome.NotRun != tt.notRun {
				t.Errorf("outcome: got %v, not run %v, want %v, %v", outcome.Reason, outcome.NotRun, tt.want, tt.notRun)
			}

			if len(detour.requests) != tt.calls {
				t.Errorf("offered: got %d times, want %d", len(detour.requests), tt.calls)
			}

			if last := len(tt.events); last > 0 && len(got.events) != tt.events[last-1][1] {
				t.Errorf("events: got %d, want %d", len(got.events), tt.events[last-1][1])
			}

			if tt.calls == 2 && len(tt.events) == 2 && (detour.requests[1].Request.ResumeAfter != "2" || got.begun != 1) {
				t.Errorf("resumed after %q with %d headers, want after 2 with one", detour.requests[1].Request.ResumeAfter, got.begun)
			}
		})
	}
}

// Guards against requests that run at more servers than their route allows, since helping instances are lost
// that sent them on before.
func TestLostHelpersSendToNoMoreServersThanAllowed(t *testing.T) {
	lost := fmt.Errorf("broke: %w", upstream.ErrGarbled)

	for _, name := range []string{"safe", "talk"} {
		helper := newFixture(t, 10)
		helper.respond = func(string, int, *http.Request) string { return "" }

		f, _ := newCutFixture(t, func(_ int, r DetourRequest, _ Sink) (DetourResult, error) {
			helper.hearFromServer()

			run, refusal := helper.PrepareDetour(t.Context(), r)
			if refusal != nil {
				return DetourResult{}, ErrNoHelper
			}

			run(t.Context(), &recordingSink{})

			return DetourResult{}, lost
		})

		f.call(name, "r")

		if got, want := len(helper.arrivals()), f.attemptsOf(name); got != want {
			t.Errorf("%s: sends by helping instances that are lost: got %d, want %d", name, got, want)
		}
	}
}

// Guards against requests that fail at the first server which a helping instance sends them to, though their
// route allows another one.
func TestFailedDetourGoesOnElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		route  string
		refuse Refusal
		// status is that of a response which the server of the first instance gave, if it gave one.
		status, calls int
		want          Reason
	}{
		"rejected":                {route: "once", refuse: Refusal{Reason: Overloaded, NotRun: true}, calls: 2, want: Answered},
		"lost, may be repeated":   {route: "safe", refuse: Refusal{Reason: ResponseLost}, calls: 2, want: Answered},
		"lost, may not":           {route: "once", refuse: Refusal{Reason: ResponseLost}, calls: 1, want: ResponseLost},
		"failed, may be repeated": {route: "safe", status: http.StatusInternalServerError, calls: 2, want: Answered},
		"failed, may not":         {route: "once", status: http.StatusInternalServerError, calls: 1, want: Answered},
		"no time left":            {route: "safe", refuse: Refusal{Reason: TimedOut}, calls: 1, want: TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			f, detour := newCutFixture(t, func(n int, _ DetourRequest, sink Sink) (DetourResult, error) {
				switch {
				case n > 1:
					return DetourResult{Servers: []string{"i-2"}, MayHaveRun: true}, sink.WriteResponse(http.StatusOK, nil, nil)
				case c.status > 0:
					return DetourResult{Servers: []string{"i-1"}, MayHaveRun: true}, sink.WriteResponse(c.status, nil, nil)
				default:
					return DetourResult{Servers: []string{"i-1"}, MayHaveRun: !c.refuse.NotRun, Refusal: &c.refuse}, nil
				}
			})

			outcome, got := f.call(c.route, "r")
			if outcome.Reason != c.want || len(detour.requests) != c.calls {
				t.Errorf("got %v after %d offers, want %v after %d", outcome.Reason, len(detour.requests), c.want, c.calls)
			}

			if c.calls == 1 && c.status > 0 && got.status != c.status {
				t.Errorf("status: got %d, want %d", got.status, c.status)
			}
		})
	}
}

// attemptsOf returns to how many servers a request of a route may be sent.
func (s *fixture) attemptsOf(name string) int {
	s.t.Helper()

	route, ok := s.rules.Load().Match("a.example", "/"+name+"/x")
	if !ok {
		s.t.Fatalf("route %s: got none, want one", name)
	}

	return route.Attempts()
}

// Guards against further sends that no budget counts: servers rejected the request at one helping
// instance, and the next one sends it as if it had never been sent.
func TestSendsAfterRejectionElsewhereTakeBudget(t *testing.T) {
	const budget = 2

	rejected := DetourResult{Refusal: &Refusal{Reason: NoServer, NotRun: true}, Servers: []string{"i-1"}}

	f, detour := newCutFixture(t, func(n int, _ DetourRequest, _ Sink) (DetourResult, error) {
		if n > 100 {
			return DetourResult{}, ErrNoHelper
		}

		return rejected, nil
	})
	f.Retries = retry.NewBudgets(retry.BudgetPolicy{Window: 10 * time.Second, Share: 1e-9, MinRetries: budget})

	const requests = 10

	for i := range requests {
		f.call("safe", fmt.Sprint("r-", i))
	}

	if got, want := len(detour.requests), requests+budget; got > want {
		t.Errorf("sends of %d requests by way of others: got %d, want at most %d", requests, got, want)
	}
}

// Guards against serving a request of another instance that this one may not send.
func TestInstanceDeclinesRequestsOfOthers(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(f *fixture, r *DetourRequest)
		want   Reason
	}{
		"nothing is wrong":          {change: func(*fixture, *DetourRequest) {}, want: Answered},
		"its rules are older":       {change: func(_ *fixture, r *DetourRequest) { r.RulesVersion = 2 }, want: NoRules},
		"its rules are outdated":    {change: func(f *fixture, _ *DetourRequest) { f.clock.Advance(rulesMaxAge + time.Millisecond) }, want: StaleRules},
		"the key was revoked":       {change: func(f *fixture, _ *DetourRequest) { f.rules.Store(rulesWith(f.t, 2, "other")) }, want: Unauthorized},
		"the route is gone":         {change: func(_ *fixture, r *DetourRequest) { r.Request.Path = "/gone/x" }, want: NoRoute},
		"the route was moved":       {change: func(_ *fixture, r *DetourRequest) { r.Service = "llm" }, want: NoRules},
		"it has no path either":     {change: func(f *fixture, _ *DetourRequest) { f.losePaths() }, want: NoServer},
		"its connections are used":  {change: func(f *fixture, _ *DetourRequest) { f.useConnections("api") }, want: Overloaded},
		"the request crashed three": {change: func(f *fixture, _ *DetourRequest) { f.quarantine("once") }, want: Quarantined},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 10)
			f.respond = respondOK
			r := f.requestOfOther()
			f.hearFromServer()
			tt.change(f, &r)

			run, refusal := f.PrepareDetour(t.Context(), r)

			got := Answered
			if refusal != nil {
				got = refusal.Reason
			}

			if got != tt.want {
				t.Fatalf("got %v, want %v", got, tt.want)
			}

			if run == nil {
				return
			}

			result := run(t.Context(), &recordingSink{})
			if result.Refusal != nil || len(result.Servers) != 1 || !result.UsageCounted || f.usage.began.Load() != 1 {
				t.Errorf("got %+v and %d counted in usage, want it served by one server and counted once", result, f.usage.began.Load())
			}
		})
	}
}

// requestOfOther returns a request that another instance has received.
func (s *fixture) requestOfOther() DetourRequest {
	return DetourRequest{Service: "api", RulesVersion: 1, Attempts: 1, Request: &Request{
		ID: "r", Method: http.MethodPost, Host: "a.example", Target: "/once/x", Path: "/once/x", APIKey: "key",
		Header: http.Header{}, Arrived: s.clock.Now(),
	}}
}

// hearFromServer has the fixture hear from a server of the plain service.
func (s *fixture) hearFromServer() {
	s.t.Helper()

	a, err := s.Scheduler.Pick(s.clock.Now(), scheduling.Request{Service: "api"})
	if err != nil || !a.Start(s.clock.Now()) {
		s.t.Fatalf("pick: got %v, want a server", err)
	}

	a.Heard(s.clock.Now())
}

// useConnections has the fixture use all its connections to two servers of a service.
func (s *fixture) useConnections(service string) {
	s.t.Helper()

	for _, name := range []string{service + "-1", service + "-2"} {
		id := fleet.InstanceID(name)
		s.Pool.SetLimit(id, 1)

		if !s.Pool.HasRoom(id) {
			continue
		}

		response, err := s.Pool.Send(s.t.Context(), upstream.Server{ID: id, Address: name}, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{idHeader: {"busy-" + name}}, ID: "busy-" + name, IDHeader: idHeader})
		if err != nil {
			s.t.Fatalf("use a connection: got %v, want none", err)
		}

		s.t.Cleanup(response.Close)
	}
}

// losePaths has the fixture lose its paths to all servers.
func (s *fixture) losePaths() {
	for _, id := range []fleet.InstanceID{"api-1", "api-2", "llm-1", "llm-2"} {
		s.Scheduler.RecordPath(s.clock.Now(), id, string(id), false, false)
	}
}

// quarantine has the requests of a route quarantined.
func (s *fixture) quarantine(route string) {
	for i := range lossThreshold {
		s.Quarantine.RecordLoss(s.clock.Now(), fingerprintOf(route), register.Process{ID: "i", Incarnation: fleet.Incarnation(i + 1)}, quarantine.Strong)
	}
}

// Guards against a request of another instance that is sent with a key which was revoked while it
// waited there.
func TestRevokedKeyBlocksRequestOfOtherInstance(t *testing.T) {
	f := newFixture(t, 10)
	f.respond = respondOK
	f.onDial = func(string) { f.rules.Store(rulesWith(t, 2, "other")) }

	r := f.requestOfOther()

	f.hearFromServer()

	run, refusal := f.PrepareDetour(t.Context(), r)
	if refusal != nil {
		t.Fatalf("prepare: got %+v, want none", refusal)
	}

	result := run(t.Context(), &recordingSink{})
	if result.Refusal == nil || !result.Refusal.NotRun || len(f.arrivals()) != 0 {
		t.Errorf("got %+v and %d arrivals, want a refusal as not run", result.Refusal, len(f.arrivals()))
	}
}

// Guards against a request that is passed on from instance to instance.
func TestRequestOfOtherInstanceIsNotPassedOn(t *testing.T) {
	f := newFixture(t, 10)
	detour := &fakeDetour{serve: func(int, DetourRequest, Sink) (DetourResult, error) { return DetourResult{}, nil }}
	f.Detour = detour

	f.hearFromServer()

	run, refusal := f.PrepareDetour(t.Context(), f.requestOfOther())
	if refusal != nil {
		t.Fatalf("prepare: got %+v, want none", refusal)
	}

	f.losePaths()

	result := run(t.Context(), &recordingSink{})
	if result.Refusal == nil || result.Refusal.Reason != NoServer || len(detour.requests) != 0 {
		t.Errorf("got %+v and %d offers to others, want it refused without any", result.Refusal, len(detour.requests))
	}
}
