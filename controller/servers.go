package controller

import (
	"context"
	"slices"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
)

// Servers knows the backend servers.
type Servers interface {
	// All returns every server, and whether the instance list was read at all.
	All() ([]Server, bool)
	// MarkLeaving tells every entry instance that a server gets no new work.
	MarkLeaving(id fleet.InstanceID, at time.Time)
}

// Server is one backend server as control sees it.
type Server struct {
	ID      fleet.InstanceID
	Service fleet.Service
	Domain  fleet.FailureDomain
	Client  Client
	// InFlight is the estimate of the requests that the server holds.
	InFlight int64
	Ready    bool
	Leaving  bool
}

// Client is what control asks of a backend server. Order and State are asked
// of model engines alone.
type Client interface {
	Load(ctx context.Context) (backend.LoadReport, error)
	Order(ctx context.Context, o backend.Order) error
	State(ctx context.Context) (backend.EngineState, error)
}

// inRegion returns the servers that stand in a region.
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
