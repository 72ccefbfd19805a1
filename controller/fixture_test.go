package controller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/controller"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/placement"
	"monsoonlever/standin"
)

const (
	modelService = "ledger-llm"
	plainService = "payrun-api"
	model        = "ledger-large"
	oldVersion   = "2026.11"
	newVersion   = "2026.12"
)

var domains = []fleet.FailureDomain{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"}

// region is a region of stand-ins in one process, under the fake time of testing/synctest.
type region struct {
	t        *testing.T
	log      *standin.Log
	cloud    *standin.Cloud
	manifest atomic.Pointer[manifest.Manifest]
	group    conc.WaitGroup

	mu      sync.Mutex
	servers map[fleet.InstanceID]*backendServer
	leaving map[fleet.InstanceID]bool
	costs   map[fleet.Service]float64
}

// backendServer is a listed server. Its engine is nil for a plain service.
type backendServer struct {
	service fleet.Service
	domain  fleet.FailureDomain
	engine  *standin.Engine
	client  controller.Client
}

func newRegion(t *testing.T) *region {
	t.Helper()

	r := &region{
		t: t, log: standin.NewLog(clock.System{}), cloud: standin.NewCloud(clock.System{}),
		servers: make(map[fleet.InstanceID]*backendServer),
		leaving: make(map[fleet.InstanceID]bool),
		costs:   make(map[fleet.Service]float64),
	}
	r.setManifest()

	return r
}

// setManifest puts the example manifest in force after replacing old, new pairs of strings.
func (r *region) setManifest(replace ...string) {
	r.t.Helper()

	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		r.t.Fatal(err)
	}

	m, err := manifest.Parse("kronvig", []byte(strings.NewReplacer(replace...).Replace(string(data))))
	if err != nil {
		r.t.Fatal(err)
	}

	r.manifest.Store(m)
}

// addEngines starts one engine in each of the given failure domains.
func (r *region) addEngines(checks bool, loadTime time.Duration, in ...fleet.FailureDomain) {
	for i, domain := range in {
		weights := standin.NewWeights(clock.System{})
		weights.ModelTime = loadTime
		engine := standin.NewEngine(clock.System{})
		engine.Model, engine.Version = model, oldVersion
		engine.Weights = weights
		engine.ChecksFence = checks
		r.addEngine(fleet.InstanceID("engine-"+string(rune('0'+i))), domain, engine)
	}
}

func (r *region) addEngine(id fleet.InstanceID, domain fleet.FailureDomain, engine *standin.Engine) {
	client := &http.Client{Transport: inProcess{handler: engine.Handler()}}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.servers[id] = &backendServer{
		service: modelService, domain: domain, engine: engine,
		client: backend.NewHTTPEngine(string(id), client),
	}
}

// inProcess is a transport that calls a handler without a network.
type inProcess struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (p inProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	p.handler.ServeHTTP(recorder, r)

	return recorder.Result(), nil
}

var _ controller.Servers = (*region)(nil)

// All implements controller.Servers.
func (r *region) All() ([]controller.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []controller.Server

	for id, s := range r.servers {
		ready := s.engine == nil || s.engine.State().Ready
		all = append(all, controller.Server{
			ID: id, Service: s.service, Domain: s.domain, Client: s.client, Ready: ready, Leaving: r.leaving[id],
		})
	}

	return all, true
}

// MarkLeaving implements controller.Servers.
func (r *region) MarkLeaving(id fleet.InstanceID, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.leaving[id] = true
}

// AddCost implements controller.Costs.
func (r *region) AddCost(service fleet.Service, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.costs[service] += cost
}

func (r *region) cost(service fleet.Service) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.costs[service]
}

func (r *region) engines() []*standin.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()

	var engines []*standin.Engine
	for _, s := range r.servers {
		if s.engine != nil {
			engines = append(engines, s.engine)
		}
	}

	return engines
}

// count counts the engines that satisfy a condition.
func (r *region) count(holds func(backend.EngineState) bool) int {
	n := 0
	for _, e := range r.engines() {
		if holds(e.State()) {
			n++
		}
	}

	return n
}

// candidate is a controller on one entry instance.
type candidate struct {
	*controller.Controller
	clock *pausableClock
	stop  context.CancelFunc
	done  chan struct{}
}

// start runs a controller until the test ends or it is stopped.
func (r *region) start(id fleet.InstanceID, change ...func(*controller.Controller)) *candidate {
	ctx, stop := context.WithCancel(r.t.Context())
	c := &candidate{stop: stop, done: make(chan struct{}), clock: newPausableClock()}
	c.Controller = &controller.Controller{
		Instance: id, Incarnation: 1, Region: "dk-east", Deployment: "kronvig",
		Log: r.log, Cloud: r.cloud, Clock: c.clock, Manifest: r.manifest.Load,
		Servers: r, Costs: r, Metrics: metrics.NewSet(),
		Demand: func(*manifest.Manifest, manifest.Service) placement.Load { return placement.Load{} },
	}

	for _, f := range change {
		f(c.Controller)
	}

	r.group.Go(func() {
		defer close(c.done)

		if err := c.Run(ctx); err != nil {
			r.t.Errorf("run: got %v, want none", err)
		}
	})

	return c
}

// stopAll stops the candidates and waits until every goroutine of the region has ended.
func (r *region) stopAll(candidates ...*candidate) {
	for _, c := range candidates {
		c.clock.resume()
		c.stop()
	}

	r.group.Wait()
	r.cloud.Wait()

	for _, e := range r.engines() {
		e.Wait()
	}

	// Timers that the clocks still hold expire within this time.
	time.Sleep(time.Minute)
}

// holders returns the candidates that hold the lease now.
func holders(candidates ...*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return !c.Status().IsHolder })
}

// waitFor waits in fake time until a condition is true, and returns the time that this took.
func (r *region) waitFor(what string, limit time.Duration, holds func() bool) time.Duration {
	r.t.Helper()

	start := time.Now()

	for !holds() {
		if time.Since(start) > limit {
			r.t.Fatalf("after %s: got no %s", limit, what)
		}

		time.Sleep(100 * time.Millisecond)
	}

	return time.Since(start)
}
