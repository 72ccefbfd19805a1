package admission

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// Guards against losing a request between the lock-free path and the queue. Run it with the race
// detector.
func TestConcurrentAdmitLosesNoRequest(t *testing.T) {
	c := newController(t, testConfig(4, 1024, AccountConfig{Account: testAccount}))

	var wg conc.WaitGroup

	for range 16 {
		wg.Go(func() {
			for range 500 {
				ticket := c.Admit(start, testRequest())

				if got := ticket.Wait(context.Background()); got.Verdict != Admitted {
					t.Errorf("got %+v, want %v", got, Admitted)
				}

				c.Finish(start, ticket, Outcome{Latency: time.Millisecond, Duration: time.Millisecond})
			}
		})
	}

	wg.Wait()

	s := c.table.Load().services[testService]
	if got, want := s.limiter.running.Load()+s.queued.Load(), int64(0); got != want {
		t.Errorf("running and queued after all: got %d, want %d", got, want)
	}
}
