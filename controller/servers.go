package controller

import (
	"context"
	"slices"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
)

// Servers gives access to the backend servers.
type Servers interface {
	// All returns every server, and whether the instance list has been read.
	All() ([]Server, bool)
	// MarkLeaving announces to every entry instance that a server leaves at the given time and gets no
	// new requests.
	MarkLeaving(id fleet.InstanceID, at time.Time)
}

// Server is the state of one backend server.
type Server struct {
	ID      fleet.InstanceID
	Service fleet.Service
	Domain  fleet.FailureDomain
	Client  Client
	// InFlight is the estimated number of requests in flight at the server.
	InFlight int64
	Ready    bool
	Leaving  bool
}

// Client calls a backend server. Order and State are called only for model engines.
type Client interface {
	Load(ctx context.Context) (backend.LoadReport, error)
	Order(ctx context.Context, o backend.Order) error
	State(ctx context.Context) (backend.EngineState, error)
}

// inRegion returns the servers in the failure domains of a region.
func inRegion(m *manifest.Manifest, region fleet.Region, servers []Server) []Server {
	domains := domainsOf(m, region)

	return slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		_, ok := domains[s.Domain]

		return !ok
	})
}

func domainsOf(m *manifest.Manifest, region fleet.Region) map[fleet.FailureDomain]manifest.FailureDomain {
	domains := make(map[fleet.FailureDomain]manifest.FailureDomain)

	for _, r := range m.Regions() {
		if r.Name() != region {
			continue
		}

		for _, d := range r.FailureDomains() {
			domains[d.Name()] = d
		}
	}

	return domains
}
