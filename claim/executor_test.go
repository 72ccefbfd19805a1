package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/logstream"
)

// cluster is a set of entry instances that share one log.
type cluster struct {
	log       *memoryLog
	executors []*Executor
	stop      func()
}

func startCluster(ctx context.Context, count int) *cluster {
	c := &cluster{log: newMemoryLog()}
	ctx, cancel := context.WithCancel(ctx)
	wg := conc.NewWaitGroup()

	for i := range count {
		id := fleet.InstanceID(fmt.Sprintf("entry-%d", i))
		client := &logstream.Client{
			Log: c.log, Clock: clock.System{}, Stream: "claims", Writer: id, Incarnation: 1, Retention: 2 * time.Hour,
		}
		executor := &Executor{
			Log:           client,
			Clock:         clock.System{},
			Config:        Config{Self: id, Incarnation: 1},
			StoredHeaders: []string{"Content-Type"},
		}
		client.Subscribers = []logstream.Subscriber{executor}
		c.executors = append(c.executors, executor)

		wg.Go(func() { _ = client.Run(ctx) })
		wg.Go(func() { _ = executor.Run(ctx) })
	}

	c.stop = func() {
		cancel()
		wg.Wait()
	}

	time.Sleep(time.Second)
	synctest.Wait()

	return c
}

func newAttempt(value string, wait time.Duration) Attempt {
	return Attempt{
		Key:      NewKey("payrun-api", "kronvig", value),
		Digest:   DigestOf([]byte("POST"), []byte("/bank-file")),
		Deadline: time.Now().Add(wait),
	}
}

func TestDoRunsConcurrentAttemptsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t.Context(), 3)
		defer c.stop()

		var (
			runs     atomic.Int64
			mu       sync.Mutex
			verdicts []Verdict
		)

		send := func(context.Context) (Result, error) {
			runs.Add(1)
			time.Sleep(200 * time.Millisecond)

			if runs.Load() > 1 {
				return Result{}, errResponseLost
			}

			return NewResult(201, []Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "Date", Value: "x"}}, []byte("paid")), nil
		}

		wg := conc.NewWaitGroup()

		for i := range 30 {
			wg.Go(func() {
				v, err := c.executors[i%3].Do(t.Context(), newAttempt("k", time.Minute), send)
				if err != nil {
					t.Errorf("do: got %v, want no error", err)
				}

				mu.Lock()
				defer mu.Unlock()

				verdicts = append(verdicts, v)
			})
		}

		wg.Wait()

		if got, want := runs.Load(), int64(1); got != want {
			t.Errorf("executions: got %d, want %d", got, want)
		}

		for _, v := range verdicts {
			if got, want := v.Run(), Ran; got != want {
				t.Errorf("verdict: got %s (%s), want %s", got, v.Reason(), want)
			}

			if got, want := string(v.Result().Body()), "paid"; got != want {
				t.Errorf("body: got %q, want %q", got, want)
			}
		}
	})
}

func TestDoMapsSendErrors(t *testing.T) {
	tests := []struct {
		desc       string
		err        error
		wantRun    RunState
		wantSecond RunState
	}{
		{desc: "not sent", err: merry.Wrap(backend.ErrNotSent), wantRun: NotRun, wantSecond: Ran},
		{desc: "refused by the server", err: merry.Wrap(backend.ErrRefused), wantRun: NotRun, wantSecond: Ran},
		{desc: "connection reset during the call", err: errResponseLost, wantRun: Unknown, wantSecond: Unknown},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t.Context(), 2)
				defer c.stop()

				v, err := c.executors[0].Do(t.Context(), newAttempt("k", time.Minute), func(context.Context) (Result, error) {
					return Result{}, tt.err
				})
				if err != nil {
					t.Fatalf("do: got %v, want no error", err)
				}

				if got, want := v.Run(), tt.wantRun; got != want {
					t.Errorf("verdict: got %s (%s), want %s", got, v.Reason(), want)
				}

				time.Sleep(v.RetryAfter() + time.Second)

				v, err = c.executors[1].Do(t.Context(), newAttempt("k", time.Minute), func(context.Context) (Result, error) {
					return NewResult(200, nil, nil), nil
				})
				if err != nil {
					t.Fatalf("do again: got %v, want no error", err)
				}

				if got, want := v.Run(), tt.wantSecond; got != want {
					t.Errorf("verdict of the retry: got %s (%s), want %s", got, v.Reason(), want)
				}
			})
		})
	}
}

func TestDoFailsFastDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t.Context(), 2)
		defer c.stop()

		c.log.setFaults(true, 0)

		// The verdict must not wait for the deadline, one hour later.
		began := time.Now()
		sent := func(context.Context) (Result, error) {
			t.Error("send in an outage: got called, want not")

			return Result{}, nil
		}

		v, err := c.executors[0].Do(t.Context(), newAttempt("k", time.Hour), sent)
		if err != nil {
			t.Fatalf("do: got %v, want no error", err)
		}

		if got, want := v.Run(), NotStarted; got != want {
			t.Errorf("verdict: got %s, want %s", got, want)
		}

		if got, most := time.Since(began), DefaultClaimTimeout+DefaultTickInterval; got > most {
			t.Errorf("first verdict in the outage took %v, want at most %v", got, most)
		}

		time.Sleep(10 * time.Second)

		began = time.Now()

		v, err = c.executors[0].Do(t.Context(), newAttempt("other", time.Hour), sent)
		if err != nil {
			t.Fatalf("do once the outage is known: got %v, want no error", err)
		}

		if got, want := v.Run(), NotStarted; got != want || v.RetryAfter() == 0 {
			t.Errorf("verdict: got %s with retry after %v, want %s with one", got, v.RetryAfter(), want)
		}

		if got, want := time.Since(began), time.Duration(0); got != want {
			t.Errorf("verdict once the outage is known: got after %v, want after %v", got, want)
		}

		c.log.setFaults(false, 0)
		time.Sleep(15 * time.Second)

		v, err = c.executors[1].Do(t.Context(), newAttempt("k", time.Minute), func(context.Context) (Result, error) {
			return NewResult(200, nil, nil), nil
		})
		if err != nil || v.Run() != Ran {
			t.Errorf("retry after the outage: got %s (%s), %v, want %s", v.Run(), v.Reason(), err, Ran)
		}
	})
}

func TestDoReturnsResultWhileOutcomeCannotBeAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t.Context(), 2)
		defer c.stop()

		v, err := c.executors[0].Do(t.Context(), newAttempt("k", time.Minute), func(context.Context) (Result, error) {
			// The other instance reads the claim before the outage begins.
			time.Sleep(time.Second)
			c.log.setFaults(true, 0)
			time.Sleep(10 * time.Second)

			return NewResult(200, nil, []byte("paid")), nil
		})
		if err != nil || v.Run() != Ran {
			t.Fatalf("do over an outage: got %s, %v, want %s", v.Run(), err, Ran)
		}

		v, err = c.executors[1].Do(t.Context(), newAttempt("k", time.Minute), nil)
		if err != nil || v.Run() != Unknown || v.RetryAfter() == 0 {
			t.Errorf("retry in the outage: got %s, %v, want %s with a time to retry", v.Run(), err, Unknown)
		}

		c.log.setFaults(false, 0)
		time.Sleep(15 * time.Second)

		v, err = c.executors[1].Do(t.Context(), newAttempt("k", time.Minute), nil)
		if err != nil || v.Run() != Ran || string(v.Result().Body()) != "paid" {
			t.Errorf("retry after the outage: got %s (%s) %q, %v, want %s", v.Run(), v.Reason(), v.Result().Body(), err, Ran)
		}
	})
}

func TestDoRunsOnceWhenAppendResponsesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t.Context(), 1)
		defer c.stop()

		c.log.setFaults(false, 5)

		runs := 0

		for i := range 10 {
			v, err := c.executors[0].Do(t.Context(), newAttempt(fmt.Sprint(i), time.Minute), func(context.Context) (Result, error) {
				runs++

				return NewResult(200, nil, nil), nil
			})
			if err != nil || v.Run() != Ran {
				t.Errorf("do %d: got %s (%s), %v, want %s", i, v.Run(), v.Reason(), err, Ran)
			}
		}

		if got, want := runs, 10; got != want {
			t.Errorf("executions: got %d, want %d", got, want)
		}
	})
}

func TestDoWithCanceledContextSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t.Context(), 1)
		defer c.stop()

		ctx, cancel := context.WithCancel(t.Context())
		cancel()

		_, err := c.executors[0].Do(ctx, newAttempt("k", time.Minute), func(context.Context) (Result, error) {
			t.Error("send for a canceled caller: got called, want not")

			return Result{}, nil
		})
		if err == nil {
			t.Error("do: got no error, want the context's")
		}

		time.Sleep(3 * time.Second)

		v, err := c.executors[0].Do(t.Context(), newAttempt("k", time.Minute), func(context.Context) (Result, error) {
			return NewResult(200, nil, nil), nil
		})
		if err != nil || v.Run() != Ran {
			t.Errorf("retry: got %s (%s), %v, want %s", v.Run(), v.Reason(), err, Ran)
		}
	})
}

func TestDoWithPanickingSendLeavesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t.Context(), 1)
		defer c.stop()

		func() {
			defer func() { _ = recover() }()

			_, _ = c.executors[0].Do(t.Context(), newAttempt("k", time.Minute), func(context.Context) (Result, error) {
				panic("send failed")
			})
		}()

		v, err := c.executors[0].Do(t.Context(), newAttempt("k", time.Minute), nil)
		if err != nil || v.Run() != Unknown {
			t.Errorf("retry: got %s, %v, want %s", v.Run(), err, Unknown)
		}
	})
}
