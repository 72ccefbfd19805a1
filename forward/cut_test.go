package forward

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Guards against a request that is lost, or holds its connection until its deadline, because its
// server answers with a header that does not end.
func TestRequestIsServedElsewhereAfterEndlessHeader(t *testing.T) {
	for route, want := range map[string]struct {
		status, sends int
		refused       Reason
	}{
		"safe": {status: http.StatusOK, sends: 2},
		"talk": {status: http.StatusOK, sends: 2},
		// It may have run, so that it is neither repeated nor said not to have run.
		"once": {sends: 1, refused: ResponseLost},
		"tell": {sends: 1, refused: ResponseLost},
	} {
		t.Run(route, func(t *testing.T) {
			set := metrics.NewSet()
			s := newFixture(t, 10)
			s.Counters = NewCounters(set)
			s.respond = func(_ string, n int, r *http.Request) string {
				if n == 1 {
					return "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<20)
				}

				if route == "talk" {
					return signedStream(r, 1, 2, false)
				}

				return signedResponse(r, http.StatusOK)
			}

			outcome, sink := s.call(route, "r1")

			if sink.status != want.status || len(outcome.Servers) != want.sends {
				t.Errorf("got status %d after %d sends, want %d after %d", sink.status, len(outcome.Servers), want.status, want.sends)
			}

			if want.refused != Answered && (outcome.Reason != want.refused || outcome.NotRun) {
				t.Errorf("got %v, not run %v, want %v, false", outcome.Reason, outcome.NotRun, want.refused)
			}

			var text bytes.Buffer

			set.WritePrometheus(&text)

			if want := `monsoonlever_forward_cut_responses_total{bound="header"} 1`; !strings.Contains(text.String(), want) {
				t.Errorf("metrics lack %q", want)
			}
		})
	}
}

// Guards against an id that is as long as an event may be, in an error that is logged.
func TestErrorOfLongEventIDIsShort(t *testing.T) {
	progress := streamProgress{lastEventID: "1"}

	for _, id := range []string{strings.Repeat("x", maxEventBytes), strings.Repeat("9", maxEventBytes)} {
		if err := progress.accept(id); !errors.Is(err, ErrOutOfOrder) || len(err.Error()) > 200 {
			t.Errorf("got %d bytes, want a short error that wraps %v", len(err.Error()), ErrOutOfOrder)
		}
	}
}

// Guards against a server that keeps its share of the requests although it answers none of them.
func TestServerOfEndlessHeadersLosesItsShare(t *testing.T) {
	const calls = 60

	s := newFixture(t, calls)
	s.respond = func(address string, _ int, r *http.Request) string {
		if address == "api-1" {
			return "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<20)
		}

		return signedResponse(r, http.StatusOK)
	}

	for range calls {
		if outcome, sink := s.call("safe", "r1"); sink.status != http.StatusOK {
			t.Errorf("got %v, want an answer", outcome.Reason)
		}

		s.clock.Advance(20 * time.Millisecond)
	}

	sent := 0

	for _, a := range s.arrivals() {
		if a.address == "api-1" {
			sent++
		}
	}

	if want := calls / 4; sent == 0 || sent > want {
		t.Errorf("sent to the faulty server: got %d of %d, want some and at most %d, half of its share", sent, calls, want)
	}
}
