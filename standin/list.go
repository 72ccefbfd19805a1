package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// ListFaultsPath is where the list takes a FaultOrder.
const ListFaultsPath = "/list/faults"

// List is a fake of the instance list. Set the exported fields before its use.
type List struct {
	Clock  clock.Clock
	Faults *Faults
	// Lag is how late a change is seen.
	Lag time.Duration

	mu      sync.Mutex
	present []provider.Listing
	seen    lagged[[]provider.Listing]
}

var _ provider.InstanceList = (*List)(nil)

// NewList returns an empty list without a lag.
func NewList(c clock.Clock) *List {
	return &List{Clock: c, Faults: NewFaults(c)}
}

// Set adds a listing or replaces the one with its id.
func (l *List) Set(listing provider.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()

	present := without(l.present, listing.ID)
	l.change(append(present, listing))
}

// Leave marks a listing as leaving.
func (l *List) Leave(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()

	present := slices.Clone(l.present)
	for i := range present {
		if present[i].ID == id {
			present[i].State = provider.Leaving
		}
	}

	l.change(present)
}

// Remove takes a listing out.
func (l *List) Remove(id fleet.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.change(without(l.present, id))
}

func (l *List) change(present []provider.Listing) {
	l.present = present
	l.seen.set(l.Clock, l.Lag, present)
}

func without(listings []provider.Listing, id fleet.InstanceID) []provider.Listing {
	kept := make([]provider.Listing, 0, len(listings)+1)

	for _, listing := range listings {
		if listing.ID != id {
			kept = append(kept, listing)
		}
	}

	return kept
}

// Present returns the listings without the lag.
func (l *List) Present() []provider.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Clone(l.present)
}

// Listings returns the list as it was a lag ago.
func (l *List) Listings(ctx context.Context) ([]provider.Listing, error) {
	if err := l.Faults.Enter(ctx); err != nil {
		return nil, err
	}

	return slices.Clone(l.seen.get(l.Clock, l.Lag)), nil
}

// Handler speaks the wire format of the instance list.
func (l *List) Handler() http.Handler {
	router := httprouter.New()
	l.routes(router)

	return router
}

func (l *List) routes(router *httprouter.Router) {
	handle(router, http.MethodGet, provider.ListingsPath, l.serveListings)
	handleFaults(router, ListFaultsPath, l.Faults)
}

func (l *List) serveListings(w http.ResponseWriter, r *http.Request) error {
	listings, err := l.Listings(r.Context())
	if err != nil {
		return err
	}

	return writeMessage(w, listings)
}
