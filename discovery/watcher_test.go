package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/routing"
)

const testServer fleet.InstanceID = "server-1"

var errDown = errors.New("down")

// fakeSources are the platform and one plain server.
type fakeSources struct {
	provider.Cloud
	backend.PlainServer

	mu      sync.Mutex
	down    bool
	leaving bool
	notices []provider.ReclaimNotice
}

func (f *fakeSources) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeSources) Listings(context.Context) ([]provider.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.down {
		return nil, errDown
	}

	return []provider.Listing{
		{ID: testServer, Service: "payrun-api", Address: "10.0.0.1:80", State: provider.Live},
		{ID: "other", Service: "unheard-of", Address: "10.0.0.2:80", State: provider.Live},
	}, nil
}

func (f *fakeSources) Notices(_ context.Context, after uint64) ([]provider.ReclaimNotice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.down {
		return nil, errDown
	}

	var notices []provider.ReclaimNotice

	for _, n := range f.notices {
		if n.Sequence > after {
			notices = append(notices, n)
		}
	}

	return notices, nil
}

func (f *fakeSources) Load(ctx context.Context) (backend.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return backend.LoadReport{At: time.Now(), Capacity: 64, Leaving: f.leaving}, ctx.Err()
}

func (f *fakeSources) Engine(string) backend.Engine     { return nil }
func (f *fakeSources) Plain(string) backend.PlainServer { return f }

// watch runs a watcher for as long as test does, in a bubble.
func watch(t *testing.T, test func(f *fakeSources, w *Watcher, announced *atomic.Int64)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		f := &fakeSources{}
		announced := &atomic.Int64{}
		w := &Watcher{
			Clock: clock.System{}, List: f, Cloud: f, Directory: NewDirectory(f), Table: &routing.Table{},
			Leaving: &answer.Leaving{}, Metrics: metrics.NewSet(), InForce: func() bool { return true },
			IsModel:   func(s fleet.Service) (bool, bool) { return false, s == "payrun-api" },
			Announced: func(fleet.InstanceID, time.Time, routing.Source) { announced.Add(1) },
		}

		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(time.Second)

		test(f, w, announced)
		cancel()
		synctest.Wait()
	})
}

func TestWatcherKeepsWhatItLastHeard(t *testing.T) {
	watch(t, func(f *fakeSources, w *Watcher, _ *atomic.Int64) {
		f.set(func() { f.down = true })
		time.Sleep(10 * time.Minute)

		_, listed := w.Listed()
		if _, ok := w.Directory.Server(testServer); !ok || !listed {
			t.Error("server: got gone with the list, want kept")
		}

		if _, ok := w.Directory.Server("other"); ok {
			t.Error("server of no service of the manifest: got known, want not")
		}

		if got := w.Metrics.GetOrCreateCounter(`monsoonlever_discovery_errors_total{source="instance list"}`).Get(); got == 0 {
			t.Error("errors: got none counted, want some")
		}
	})
}

func TestEarliestWordOfALeavingServerStays(t *testing.T) {
	watch(t, func(f *fakeSources, w *Watcher, announced *atomic.Int64) {
		f.set(func() { f.leaving = true })
		time.Sleep(time.Second)

		if _, ok := w.Leaving.At(testServer); !ok {
			t.Fatal("server: got staying, want leaving by its own word")
		}

		at := time.Now().Add(3 * time.Second)
		f.set(func() {
			f.notices = append(f.notices, provider.ReclaimNotice{Sequence: 1, Instance: testServer, At: at})
		})
		time.Sleep(time.Second)

		if got, _ := w.Leaving.At(testServer); !got.Equal(at) {
			t.Errorf("reclaim: got at %v, want at %v", got, at)
		}

		if _, err := w.Table.Pick(time.Now(), Random{}, routing.NewRequest(routing.NewKey("payrun-api", "", "", ""))); err == nil {
			t.Error("pick: got a leaving server, want none")
		}

		// The plans of exports are made again for the shorter time, and no other.
		if got, want := announced.Load(), int64(2); got != want {
			t.Errorf("announced: got %d times, want %d", got, want)
		}
	})
}

func TestReclaimedServersAreForgotten(t *testing.T) {
	watch(t, func(f *fakeSources, w *Watcher, _ *atomic.Int64) {
		f.set(func() { f.notices = []provider.ReclaimNotice{{Sequence: 1, Instance: "gone", At: time.Now()}} })
		time.Sleep(time.Second)

		if _, ok := w.Leaving.At("gone"); !ok {
			t.Fatal("server: got staying, want leaving")
		}

		time.Sleep(2 * leavingMemory)

		if _, ok := w.Leaving.At("gone"); ok {
			t.Error("server: got remembered long after its reclaim, want forgotten")
		}
	})
}
