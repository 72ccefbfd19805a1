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

// entries is several entry instances over one log.
type entries struct {
	log     *memoryLog
	keepers []*Executor
	stop    func()
}

func startEntries(ctx context.Context, count int) *entries {
	e := &entries{log: newMemoryLog()}
	ctx, cancel := context.WithCancel(ctx)
	wg := conc.NewWaitGroup()

	for i := range count {
		id := fleet.InstanceID(fmt.Sprintf("entry-%d", i))
		client := &logstream.Client{
			Log: e.log, Clock: clock.System{}, Stream: "claims", Writer: id, Incarnation: 1, Retention: 2 * time.Hour,
		}
		keeper := &Executor{
			Log:    client,
			Clock:      clock.System{},
			Config:     Config{Self: id, Incarnation: 1},
			StoredHeaders: []string{"Content-Type"},
		}
		client.Subscribers = []logstream.Subscriber{keeper}
		e.keepers = append(e.keepers, keeper)

		wg.Go(func() { _ = client.Run(ctx) })
		wg.Go(func() { _ = keeper.Run(ctx) })
	}

	e.stop = func() {
		cancel()
		wg.Wait()
	}

	time.Sleep(time.Second)
	synctest.Wait()

	return e
}

func attemptWith(value string, wait time.Duration) Attempt {
	return Attempt{
		Key:      NewKey("payrun-api", "kronvig", value),
		Digest:   DigestOf([]byte("POST"), []byte("/bank-file")),
		Deadline: time.Now().Add(wait),
	}
}

func TestDoRunsOneOfManyAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntries(t.Context(), 3)
		defer e.stop()

		var (
			runs     atomic.Int64
			mu       sync.Mutex
			verdicts []Verdict
		)

		send := func(context.Context) (Result, error) {
			runs.Add(1)
			time.Sleep(200 * time.Millisecond)

			if runs.Load() > 1 {
				return Result{}, errLost
			}

			return NewResult(201, []Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "Date", Value: "x"}}, []byte("paid")), nil
		}

		wg := conc.NewWaitGroup()

		for i := range 30 {
			wg.Go(func() {
				v, err := e.keepers[i%3].Do(t.Context(), attemptWith("k", time.Minute), send)
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

func TestDoTellsWhatTheSendMeans(t *testing.T) {
	tests := []struct {
		desc       string
		err        error
		wantRun    Run
		wantSecond Run
	}{
		{desc: "not sent", err: merry.Wrap(backend.ErrNotSent), wantRun: NotRun, wantSecond: Ran},
		{desc: "refused by the server", err: merry.Wrap(backend.ErrRefused), wantRun: NotRun, wantSecond: Ran},
		{desc: "reset on the way", err: errLost, wantRun: Unknown, wantSecond: Unknown},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startEntries(t.Context(), 2)
				defer e.stop()

				v, err := e.keepers[0].Do(t.Context(), attemptWith("k", time.Minute), func(context.Context) (Result, error) {
					return Result{}, tt.err
				})
				if err != nil {
					t.Fatalf("do: got %v, want no error", err)
				}

				if got, want := v.Run(), tt.wantRun; got != want {
					t.Errorf("verdict: got %s (%s), want %s", got, v.Reason(), want)
				}

				time.Sleep(v.RetryAfter() + time.Second)

				v, err = e.keepers[1].Do(t.Context(), attemptWith("k", time.Minute), func(context.Context) (Result, error) {
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

func TestDoInAnOutageAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntries(t.Context(), 2)
		defer e.stop()

		e.log.set(true, 0)

		// An hour-long deadline must not hold the answer back.
		began := time.Now()
		sent := func(context.Context) (Result, error) {
			t.Error("send in an outage: got called, want not")

			return Result{}, nil
		}

		v, err := e.keepers[0].Do(t.Context(), attemptWith("k", time.Hour), sent)
		if err != nil {
			t.Fatalf("do: got %v, want no error", err)
		}

		if got, want := v.Run(), NotStarted; got != want {
			t.Errorf("verdict: got %s, want %s", got, want)
		}

		if got, most := time.Since(began), DefaultClaimWait+DefaultTick; got > most {
			t.Errorf("first answer in the outage took %v, want at most %v", got, most)
		}

		time.Sleep(10 * time.Second)

		began = time.Now()

		v, err = e.keepers[0].Do(t.Context(), attemptWith("other", time.Hour), sent)
		if err != nil {
			t.Fatalf("do once the outage is known: got %v, want no error", err)
		}

		if got, want := v.Run(), NotStarted; got != want || v.RetryAfter() == 0 {
			t.Errorf("verdict: got %s with retry after %v, want %s with one", got, v.RetryAfter(), want)
		}

		if got, want := time.Since(began), time.Duration(0); got != want {
			t.Errorf("answer once the outage is known: got after %v, want after %v", got, want)
		}

		e.log.set(false, 0)
		time.Sleep(15 * time.Second)

		v, err = e.keepers[1].Do(t.Context(), attemptWith("k", time.Minute), func(context.Context) (Result, error) {
			return NewResult(200, nil, nil), nil
		})
		if err != nil || v.Run() != Ran {
			t.Errorf("retry after the outage: got %s (%s), %v, want %s", v.Run(), v.Reason(), err, Ran)
		}
	})
}

func TestDoAnswersWhileTheOutcomeCannotBeKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntries(t.Context(), 2)
		defer e.stop()

		v, err := e.keepers[0].Do(t.Context(), attemptWith("k", time.Minute), func(context.Context) (Result, error) {
			// The other instance reads the claim before the log goes away.
			time.Sleep(time.Second)
			e.log.set(true, 0)
			time.Sleep(10 * time.Second)

			return NewResult(200, nil, []byte("paid")), nil
		})
		if err != nil || v.Run() != Ran {
			t.Fatalf("do over an outage: got %s, %v, want %s", v.Run(), err, Ran)
		}

		v, err = e.keepers[1].Do(t.Context(), attemptWith("k", time.Minute), nil)
		if err != nil || v.Run() != Unknown || v.RetryAfter() == 0 {
			t.Errorf("retry in the outage: got %s, %v, want %s with a time to retry", v.Run(), err, Unknown)
		}

		e.log.set(false, 0)
		time.Sleep(15 * time.Second)

		v, err = e.keepers[1].Do(t.Context(), attemptWith("k", time.Minute), nil)
		if err != nil || v.Run() != Ran || string(v.Result().Body()) != "paid" {
			t.Errorf("retry after the outage: got %s (%s) %q, %v, want %s", v.Run(), v.Reason(), v.Result().Body(), err, Ran)
		}
	})
}

func TestDoSurvivesLostAppendAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntries(t.Context(), 1)
		defer e.stop()

		e.log.set(false, 5)

		runs := 0

		for i := range 10 {
			v, err := e.keepers[0].Do(t.Context(), attemptWith(fmt.Sprint(i), time.Minute), func(context.Context) (Result, error) {
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

func TestDoOfACanceledCallerSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntries(t.Context(), 1)
		defer e.stop()

		ctx, cancel := context.WithCancel(t.Context())
		cancel()

		_, err := e.keepers[0].Do(ctx, attemptWith("k", time.Minute), func(context.Context) (Result, error) {
			t.Error("send for a canceled caller: got called, want not")

			return Result{}, nil
		})
		if err == nil {
			t.Error("do: got no error, want the context's")
		}

		time.Sleep(3 * time.Second)

		v, err := e.keepers[0].Do(t.Context(), attemptWith("k", time.Minute), func(context.Context) (Result, error) {
			return NewResult(200, nil, nil), nil
		})
		if err != nil || v.Run() != Ran {
			t.Errorf("retry: got %s (%s), %v, want %s", v.Run(), v.Reason(), err, Ran)
		}
	})
}

func TestDoOfAPanickingSendLeavesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntries(t.Context(), 1)
		defer e.stop()

		func() {
			defer func() { _ = recover() }()

			_, _ = e.keepers[0].Do(t.Context(), attemptWith("k", time.Minute), func(context.Context) (Result, error) {
				panic("on the way")
			})
		}()

		v, err := e.keepers[0].Do(t.Context(), attemptWith("k", time.Minute), nil)
		if err != nil || v.Run() != Unknown {
			t.Errorf("retry: got %s, %v, want %s", v.Run(), err, Unknown)
		}
	})
}
