package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"monsoonlever/retry"
	"monsoonlever/scheduling"
)

// Guards against a request that crashes one server after the other before any instance knows of the first
// crash: it goes on from server to server, and its caller sends it again as soon as it fails.
func TestRequestThatIsRepeatedAtOnceCrashesThreeServers(t *testing.T) {
	const tries = 4

	for _, route := range []string{"tell", "talk"} {
		f := newCrashFixture(t)
		done := make(chan struct{})

		go func() {
			defer close(done)

			for n := range tries {
				f.call(route, fmt.Sprint("try-", n))
			}
		}()

		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(time.Millisecond):
				f.clock.Advance(terminationDelay)
			}
		}

		if got := len(f.arrivals()); got > lossThreshold {
			t.Errorf("%s: servers crashed: got %d, want at most %d", route, got, lossThreshold)
		}
	}
}

// Guards against retries that wait for a server and reach it together with those granted by then, more
// than the budget allows in one window.
func TestRetryThatWaitedCountsWhenItIsSent(t *testing.T) {
	const (
		window = 10 * time.Second
		waited = 6 * time.Second
	)

	f := newFixture(t, 0)
	f.Retries = retry.NewBudgets(retry.BudgetPolicy{Window: window, Share: 1e-9, MinRetries: 1})

	var (
		sent       = make(map[string]int)
		repeatedAt []time.Time
		wait       atomic.Bool
	)

	f.respond = func(_ string, _ int, r *http.Request) string {
		id := r.Header.Get(idHeader)
		if sent[id]++; sent[id] > 1 {
			repeatedAt = append(repeatedAt, f.clock.Now())
		}

		return ""
	}
	// The second connection takes as long as a request may wait for a server.
	f.onDial = func(string) {
		if wait.CompareAndSwap(true, false) {
			f.clock.Advance(waited)
			f.confirmRules()
		}
	}

	call := func(id string) {
		f.Pool.CloseIdle("api-1")
		f.Pool.CloseIdle("api-2")
		f.Serve(t.Context(), &Request{
			ID: id, Method: http.MethodPost, Host: "a.example", Target: "/safe/x", Path: "/safe/x", APIKey: "key",
			Arrived: f.clock.Now(), Timeout: time.Minute, Prompt: scheduling.Prompt{Tokens: 100},
		}, &recordingSink{})
	}

	f.respondBefore(func() { wait.Store(sent["waits"] == 1) })
	call("waits")
	f.clock.Advance(window - waited + 2*time.Second)
	f.confirmRules()

	for i := range 3 {
		call(fmt.Sprint("later-", i))
	}

	for i := 1; i < len(repeatedAt); i++ {
		if apart := repeatedAt[i].Sub(repeatedAt[i-1]); apart < window {
			t.Errorf("repeats at servers: got two within %v, want one in %v", apart, window)
		}
	}

	if len(repeatedAt) == 0 {
		t.Error("repeats at servers: got none, want one")
	}
}

// Guards against the same where another instance sends the request again: only the budget of the instance
// that sends it can count it when it does.
func TestRetryThatWaitedElsewhereCountsWhenItIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int
		waited   time.Duration
		want     int
	}{
		"first send, waited":   {attempts: 2, waited: 2 * time.Second, want: 1},
		"repeat, sent at once": {attempts: 1, want: 1},
		"repeat, waited":       {attempts: 1, waited: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.Retries = retry.NewSharedBudgets(retry.BudgetPolicy{Window: 10 * time.Second, Share: 1e-9}, f.clock.Now())
			f.respond = respondOK
			f.onDial = func(string) {
				f.clock.Advance(c.waited)
				f.confirmRules()
			}

			r := f.requestOfOther()
			r.Request.Target, r.Request.Path, r.Attempts = "/safe/x", "/safe/x", c.attempts

			f.hearFromServer()

			run, refusal := f.PrepareDetour(t.Context(), r)
			if refusal != nil {
				t.Fatalf("prepare: got %+v, want none", refusal)
			}

			run(t.Context(), &recordingSink{})

			if got := len(f.arrivals()); got != c.want {
				t.Errorf("arrivals: got %d, want %d", got, c.want)
			}
		})
	}
}

// respondBefore has a function called before each response.
func (s *fixture) respondBefore(f func()) {
	respond := s.respond
	s.respond = func(address string, n int, r *http.Request) string {
		text := respond(address, n, r)

		f()

		return text
	}
}

// confirmRules confirms that the rules are current.
func (s *fixture) confirmRules() { s.Currency.Confirm(s.clock.Now()) }
