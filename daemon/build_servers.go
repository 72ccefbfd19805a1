package daemon

import (
	"monsoonlever/discovery"
	"monsoonlever/evacuation"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/provider"
	"monsoonlever/routing"
)

// buildServers makes what watches the backend servers.
func (p *parts) buildServers() {
	client := newClient()
	p.table = &routing.Table{Self: p.settings.Instance, Domain: p.settings.FailureDomain, Metrics: p.metrics}
	p.directory = discovery.NewDirectory(clients{http: newClient()})
	p.desk = &evacuation.ExportScheduler{
		Clock:       p.clock,
		Coordinator: newCoordinator(),
		Targets:     p.exportTargets,
	}
	p.watcher = &discovery.Watcher{
		Clock: p.clock, Directory: p.directory, Table: p.table, Leaving: p.leaving,
		List:    provider.NewHTTPInstanceList(p.settings.Platform.List, client),
		Cloud:   provider.NewHTTPCloud(p.settings.Platform.Cloud, client),
		InForce: func() bool { return p.manifest() != nil },
		IsModel: func(service fleet.Service) (bool, bool) {
			return isModel(p.manifest(), service)
		},
		Announced: p.announced,
		Metrics:   p.metrics,
	}
}

func isModel(m *manifest.Manifest, service fleet.Service) (model, known bool) {
	if m == nil {
		return false, false
	}

	s, ok := m.Service(service)

	return ok && s.Kind() == manifest.ModelService, ok
}
