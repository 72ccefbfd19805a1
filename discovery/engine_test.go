package discovery

import (
	"context"
	"sync"
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

// fakeEngine is the platform and one engine, and counts what it is asked.
type fakeEngine struct {
	provider.Cloud
	backend.Engine

	mu       sync.Mutex
	ready    bool
	listings int
	loads    int
	states   int
	events   int
}

func (f *fakeEngine) Listings(context.Context) ([]provider.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listings++

	return []provider.Listing{{ID: testServer, Service: "ledger-llm", Address: "10.0.0.1:80", State: provider.Live}}, nil
}

func (f *fakeEngine) Notices(context.Context, uint64) ([]provider.ReclaimNotice, error) {
	return nil, nil
}

func (f *fakeEngine) State(context.Context) (backend.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states++

	return backend.EngineState{Model: "ledger-large", Ready: f.ready}, nil
}

func (f *fakeEngine) CacheEvents(context.Context, uint64) ([]backend.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events++

	return nil, nil
}

// plainFace is the part of the engine that reports load.
type plainFace struct {
	backend.PlainServer

	engine *fakeEngine
}

func (p plainFace) Load(context.Context) (backend.LoadReport, error) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	p.engine.loads++

	return backend.LoadReport{At: time.Now(), Capacity: 64}, nil
}

type engineClients struct{ engine *fakeEngine }

func (c engineClients) Engine(string) backend.Engine     { return c.engine }
func (c engineClients) Plain(string) backend.PlainServer { return plainFace{engine: c.engine} }

func (f *fakeEngine) counts() (listings, loads, states, events int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.listings, f.loads, f.states, f.events
}

// What changes rarely is asked for rarely, except of an engine that gets ready.
func TestSlowNewsIsPolledSlowly(t *testing.T) {
	const lasts = 20 * time.Second

	for _, tt := range []struct {
		desc  string
		ready bool
		want  int
	}{
		{desc: "ready engine", ready: true, want: int(lasts/defaultStateEvery) + 1},
		{desc: "loading engine", ready: false, want: int(lasts/defaultReportEvery) + 1},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEngine{ready: tt.ready}
				w := &Watcher{
					Clock: clock.System{}, List: f, Cloud: f, Directory: NewDirectory(engineClients{f}),
					Table: &routing.Table{}, Leaving: &answer.Leaving{}, Metrics: metrics.NewSet(),
					InForce: func() bool { return true },
					IsModel: func(fleet.Service) (bool, bool) { return true, true },
				}

				ctx, cancel := context.WithCancel(t.Context())
				go w.Run(ctx)
				time.Sleep(lasts)
				cancel()
				synctest.Wait()

				listings, loads, states, events := f.counts()
				if got, want := loads, int(lasts/defaultReportEvery)-2; got < want {
					t.Errorf("load reports: got %d, want at least %d", got, want)
				}

				if states > tt.want || states < tt.want-3 {
					t.Errorf("states: got %d, want close to %d", states, tt.want)
				}

				if got, want := events, loads; got < want-1 || got > want {
					t.Errorf("cache events: got %d reads, want one with each of %d reports", got, want)
				}

				if got, want := listings, int(lasts/defaultListEvery)+1; got > want {
					t.Errorf("lists: got %d, want at most %d", got, want)
				}
			})
		})
	}
}
