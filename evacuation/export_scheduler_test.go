package evacuation

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
)

// TestExportSchedulerExportsCostliestFirst guards against exports in the order
// of their requests. Streams that no longer fit into the notice are refused.
func TestExportSchedulerExportsCostliestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		scheduler := &ExportScheduler{
			Clock:       clock.System{},
			Coordinator: &Coordinator{Planner: Planner{Policy: testPolicy()}, GatherWindow: 20 * time.Millisecond},
			Targets:     func() []Target { return []Target{{Server: "t", Domain: "b1", Room: 9000}} },
		}

		var loop sync.WaitGroup

		loop.Go(func() { scheduler.Run(ctx) })

		start := time.Now()
		by := start.Add(5 * time.Second)
		scheduler.Notice(Notice{Server: "s", Domain: "a1", At: by})

		var (
			mu      sync.Mutex
			got     []backend.AttemptID
			refused []backend.AttemptID
			asks    sync.WaitGroup
		)

		export := func(id backend.AttemptID, tokens int) {
			turn, ok := scheduler.Target(ctx, answer.Request{}, answer.ExportKV{Attempt: id, Server: "s", Tokens: tokens, By: by})

			mu.Lock()
			defer mu.Unlock()

			if !ok {
				refused = append(refused, id)

				return
			}

			got = append(got, id)
			mu.Unlock()
			time.Sleep(time.Duration(tokens) * time.Millisecond)
			mu.Lock()
			turn.Done()
		}

		for id, tokens := range map[backend.AttemptID]int{"small": 500, "large": 2000, "medium": 1000, "huge": 3000} {
			asks.Go(func() { export(id, tokens) })
		}

		asks.Wait()
		cancel()
		loop.Wait()

		if want := []backend.AttemptID{"huge", "small"}; !reflect.DeepEqual(got, want) {
			t.Errorf("exported: got %v, want %v", got, want)
		}

		if got, want := len(refused), 2; got != want {
			t.Errorf("refused: got %d, want %d", got, want)
		}
	})
}
