package controller_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/controller"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/placement"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

// loadTime is the time that an engine of the market takes to load weights.
const loadTime = 20 * time.Second

// plainClient reads the load of a plain server and rejects engine calls.
type plainClient struct {
	backend.PlainServer
}

var errNoEngine = errors.New("no model engine")

// Order implements controller.Client.
func (plainClient) Order(context.Context, backend.Order) error { return errNoEngine }

// State implements controller.Client.
func (plainClient) State(context.Context) (backend.EngineState, error) {
	return backend.EngineState{}, errNoEngine
}

// newMarket returns a region whose cloud starts a server on each bought instance, and removes the
// server when the instance ends.
func newMarket(t *testing.T) *region {
	t.Helper()

	r := newRegion(t)
	r.cloud.Start = func(i provider.Instance) (string, error) {
		r.startServer(i, "")

		return string(i.ID), nil
	}
	r.cloud.OnNotice = func(instances []provider.Instance) {
		for _, i := range instances {
			r.MarkLeaving(i.ID, time.Time{})
		}
	}
	r.cloud.OnEnd = func(instances []provider.Instance) {
		r.mu.Lock()
		defer r.mu.Unlock()

		for _, i := range instances {
			delete(r.servers, i.ID)
		}
	}

	for _, domain := range domains {
		r.stock(domain, 20)
	}

	return r
}

// stock sets how many instances of each class and market a failure domain offers.
func (r *region) stock(domain fleet.FailureDomain, n int) {
	for _, class := range []provider.Class{"gpu-large", "cpu-medium"} {
		for _, market := range []provider.Market{provider.Reclaimable, provider.OnDemand} {
			r.cloud.SetOffer(provider.Offer{Class: class, Domain: domain, Market: market, PricePerHour: 1}, n)
		}
	}
}

// startServer starts the server of an instance according to its class. An engine without a version
// holds no model.
func (r *region) startServer(i provider.Instance, version fleet.ModelVersion) {
	if i.Class == "gpu-large" {
		engine := standin.NewEngine(clock.System{})
		weights := standin.NewWeights(clock.System{})
		weights.ModelTime = loadTime
		engine.Weights = weights
		engine.ChecksFence = true

		if version != "" {
			engine.Model, engine.Version = model, version
		}

		r.addEngine(i.ID, i.Domain, engine)

		return
	}

	plain := standin.NewPlainService(clock.System{})
	client := &http.Client{Transport: inProcess{handler: plain.Handler()}}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.servers[i.ID] = &backendServer{
		service: plainService, domain: i.Domain,
		client: plainClient{backend.NewHTTPPlainServer(string(i.ID), client)},
	}
}

// withPurchases lets a controller buy and release, for a demand given in runners.
func withPurchases(runners float64) func(*controller.Controller) {
	return func(c *controller.Controller) {
		c.Act = true
		c.Demand = func(m *manifest.Manifest, s manifest.Service) placement.Load {
			if s.Kind() == manifest.ModelService {
				load, _ := m.Model(model)

				return placement.Load{TokensPerSecond: runners * load.DecodeTokensPerSecond()}
			}

			return placement.Load{}
		}
	}
}

// instances counts the servers of a service in a failure domain, or in all domains for "".
func (r *region) instances(service fleet.Service, domain fleet.FailureDomain) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := 0

	for _, s := range r.servers {
		if s.service == service && (domain == "" || s.domain == domain) {
			n++
		}
	}

	return n
}

// countServing counts the servers of a service that serve and are not leaving.
func (r *region) countServing(service fleet.Service) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	n := 0

	for id, s := range r.servers {
		serving := s.engine == nil || servesVersion(oldVersion)(s.engine.State())
		if s.service == service && serving && !r.leaving[id] {
			n++
		}
	}

	return n
}
