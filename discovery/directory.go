package discovery

import (
	"sync"
	"sync/atomic"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Clients makes the client of a backend server at an address.
type Clients interface {
	Engine(address string) backend.Engine
	Plain(address string) backend.PlainServer
}

// Directory finds backend servers by their instance. Readers take no lock.
type Directory struct {
	clients Clients
	mu      sync.Mutex
	servers atomic.Pointer[map[fleet.InstanceID]*Server]
}

// NewDirectory returns an empty directory.
func NewDirectory(clients Clients) *Directory {
	d := &Directory{clients: clients}
	d.servers.Store(&map[fleet.InstanceID]*Server{})

	return d
}

// Server returns the server of an instance.
func (d *Directory) Server(id fleet.InstanceID) (*Server, bool) {
	s, ok := (*d.servers.Load())[id]

	return s, ok
}

// Servers returns every server.
func (d *Directory) Servers() []*Server {
	servers := *d.servers.Load()
	out := make([]*Server, 0, len(servers))

	for _, s := range servers {
		out = append(out, s)
	}

	return out
}

// Engine returns the client of the engine on an instance.
func (d *Directory) Engine(id fleet.InstanceID) (backend.Engine, bool) {
	s, ok := d.Server(id)
	if !ok {
		return nil, false
	}

	return s.engine, true
}

// Address returns where other engines reach an instance.
func (d *Directory) Address(id fleet.InstanceID) (string, bool) {
	s, ok := d.Server(id)
	if !ok {
		return "", false
	}

	return s.listing.Address, true
}

// update makes the directory hold exactly the listed instances. A server whose
// address stays keeps its client.
func (d *Directory) update(listings []provider.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()

	old := *d.servers.Load()
	next := make(map[fleet.InstanceID]*Server, len(listings))

	for _, l := range listings {
		if known, ok := old[l.ID]; ok && known.listing.Address == l.Address {
			next[l.ID] = known

			continue
		}

		next[l.ID] = &Server{
			listing: l,
			engine:  d.clients.Engine(l.Address),
			plain:   d.clients.Plain(l.Address),
		}
	}

	d.servers.Store(&next)
}
