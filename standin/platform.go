package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

// The paths by which backend servers join and leave the platform stand-in.
const (
	RegistrationsPath = "/list/registrations"
	DeparturesPath    = "/list/departures"
)

// faultOrderTimeout bounds the wait for a backend server that is told to die.
const faultOrderTimeout = time.Second

// Registration adds a backend server to the list and to the cloud's instances.
type Registration struct {
	Listing provider.Listing `json:"listing"`
	Market  provider.Market  `json:"market"`
}

// Platform is the whole platform on one port. A reclaim marks what is registered
// as leaving in the list and, after its notice, orders it to die.
type Platform struct {
	Log     *Log
	Cloud   *Cloud
	List    *List
	Weights *Weights
	// Client gives the orders to the registered backend servers.
	Client *http.Client

	clock clock.Clock
}

// NewPlatform returns a platform whose parts have no faults.
func NewPlatform(c clock.Clock) *Platform {
	p := &Platform{
		Log:     NewLog(c),
		Cloud:   NewCloud(c),
		List:    NewList(c),
		Weights: NewWeights(c),
		Client:  &http.Client{Timeout: faultOrderTimeout},
		clock:   c,
	}
	p.Cloud.OnNotice = p.notice
	p.Cloud.OnEnd = p.end

	return p
}

// Handler serves all parts, each at its own paths.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	p.Log.routes(router)
	p.Cloud.routes(router)
	p.List.routes(router)
	p.Weights.routes(router)
	handle(router, http.MethodPost, RegistrationsPath, p.serveRegistration)
	handle(router, http.MethodPost, DeparturesPath, p.serveDeparture)

	return router
}

// Register adds a backend server to the list and to the cloud's instances.
func (p *Platform) Register(r Registration) {
	p.List.Set(r.Listing)
	p.Cloud.Adopt(provider.Instance{
		ID:      r.Listing.ID,
		Class:   r.Listing.Class,
		Domain:  r.Listing.Domain,
		Market:  r.Market,
		Address: r.Listing.Address,
		Since:   p.clock.Now(),
	})
}

func (p *Platform) serveRegistration(w http.ResponseWriter, r *http.Request) error {
	registration, err := readMessage[Registration](r)
	if err != nil {
		return err
	}

	p.Register(registration)
	w.WriteHeader(http.StatusNoContent)

	return nil
}

func (p *Platform) serveDeparture(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[provider.ReleaseRequest](r)
	if err != nil {
		return err
	}

	p.List.Remove(request.ID)

	if err := p.Cloud.Release(r.Context(), request.ID); err != nil {
		return err
	}

	w.WriteHeader(http.StatusNoContent)

	return nil
}

func (p *Platform) notice(instances []provider.Instance) {
	for _, instance := range instances {
		p.List.Leave(instance.ID)
	}

	p.order(instances, FaultOrder{Kind: Leaving})
}

func (p *Platform) end(instances []provider.Instance) {
	for _, instance := range instances {
		p.List.Remove(instance.ID)
	}

	p.order(instances, FaultOrder{Kind: Kill})
}

// order gives a fault order to backend servers at the same time. One that
// cannot be reached is dead already.
func (p *Platform) order(instances []provider.Instance, o FaultOrder) {
	var wg conc.WaitGroup

	for _, instance := range instances {
		if instance.Address == "" {
			continue
		}

		wg.Go(func() { _ = OrderFault(context.Background(), p.Client, instance.Address, o) })
	}

	wg.Wait()
}
