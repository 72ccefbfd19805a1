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
		var q Requests[string]

		got, ok := q.Do(t.Context(), clock.System{}, "entry-2", func(number uint64) {
			go func() {
				q.Reply(number+1, "another")
				q.Reply(number, "yes")
				q.Reply(number, "again")
			}()
		})
		if !ok || got != "yes" {
			t.Errorf("got %q, %t, want yes", got, ok)
		}
	})
}

// One that does not reply is waited for once, and then not asked for a while.
func TestDoSkipsSilentInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q Requests[string]

		asked := 0
		ask := func() time.Duration {
			began := time.Now()

			if got, ok := q.Do(t.Context(), clock.System{}, "entry-2", func(uint64) { asked++ }); ok {
				t.Errorf("got %q, want no reply", got)
			}

			return time.Since(began)
		}

		if got := ask(); got != ReplyTimeout {
			t.Errorf("first wait: got %v, want %v", got, ReplyTimeout)
		}

		if got := ask(); got != 0 || asked != 1 {
			t.Errorf("next wait: got %v after %d questions, want none after 1", got, asked)
		}

		time.Sleep(silentRetryDelay)
		ask()

		if asked != 2 {
			t.Errorf("questions after a while: got %d, want 2", asked)
		}
	})
}

// A caller that leaves says nothing of the instance that was asked.
func TestCanceledCallerDoesNotMarkSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q Requests[string]

		gone, leave := context.WithCancel(t.Context())
		leave()
		q.Do(gone, clock.System{}, "entry-2", func(uint64) {})

		asked := false
		q.Do(t.Context(), clock.System{}, "entry-2", func(uint64) { asked = true })

		if !asked {
			t.Error("after a caller that left: got no question, want one")
		}
	})
}
