package gossip

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
)

func TestDoReturnsMatchingReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests Requests[string]

		got, ok := requests.Do(t.Context(), clock.System{}, "entry-2", func(number uint64) {
			go func() {
				requests.Reply(number+1, "another")
				requests.Reply(number, "yes")
				requests.Reply(number, "again")
			}()
		})
		if !ok || got != "yes" {
			t.Errorf("got %q, %t, want yes", got, ok)
		}
	})
}

// An instance that does not reply causes one wait. Requests to it are skipped until
// silentRetryDelay has passed.
func TestDoSkipsSilentInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests Requests[string]

		sent := 0
		request := func() time.Duration {
			began := time.Now()

			if got, ok := requests.Do(t.Context(), clock.System{}, "entry-2", func(uint64) { sent++ }); ok {
				t.Errorf("got %q, want no reply", got)
			}

			return time.Since(began)
		}

		if got := request(); got != ReplyTimeout {
			t.Errorf("first wait: got %v, want %v", got, ReplyTimeout)
		}

		if got := request(); got != 0 || sent != 1 {
			t.Errorf("next wait: got %v after %d requests, want none after 1", got, sent)
		}

		time.Sleep(silentRetryDelay)
		request()

		if sent != 2 {
			t.Errorf("requests after the delay: got %d, want 2", sent)
		}
	})
}

// A caller that cancels before the reply is no evidence that the instance is silent.
func TestCanceledCallerDoesNotMarkSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests Requests[string]

		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		requests.Do(canceled, clock.System{}, "entry-2", func(uint64) {})

		sent := false
		requests.Do(t.Context(), clock.System{}, "entry-2", func(uint64) { sent = true })

		if !sent {
			t.Error("after a canceled call: got no request, want one")
		}
	})
}
