package daemon

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/evacuation"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/provider"
	"monsoonlever/routing"
)

const (
	// waveHalfLife is the time in which a reclaim notice loses half its weight.
	waveHalfLife = 10 * time.Minute
	// gatherExports is how long the answers on a leaving server are gathered, so
	// that the dearest goes first.
	gatherExports = 50 * time.Millisecond
	// kvBytesPerToken and kvBytesPerSecond estimate the export of a KV cache.
	kvBytesPerToken  = 160 << 10
	kvBytesPerSecond = 2 << 30
	exportSetup      = 20 * time.Millisecond
	exportMargin     = 500 * time.Millisecond
	// exportRoom is how many more tokens the cache of an engine is taken to hold
	// for each request that it could still run.
	exportRoom = 4096
	// priorityFactor multiplies the worth of an answer for each step of priority.
	priorityFactor = 1.01
)

func newCoordinator() *evacuation.Coordinator {
	return &evacuation.Coordinator{
		GatherWindow: gatherExports,
		Planner: evacuation.Planner{
			Wave: &evacuation.Wave{HalfLife: waveHalfLife},
			Policy: evacuation.Policy{
				BytesPerToken: kvBytesPerToken, BytesPerSecond: kvBytesPerSecond,
				Setup: exportSetup, Margin: exportMargin, PriorityFactor: priorityFactor,
			},
		},
	}
}

// exportTargets returns the engines that could take KV caches at present.
func (p *parts) exportTargets() []evacuation.Target {
	var targets []evacuation.Target

	for _, s := range p.table.Statuses() {
		if s.Key().Model() == "" || s.Leaving() || s.Loading() || s.Ejected() {
			continue
		}

		targets = append(targets, evacuation.Target{
			Server: s.ID(), Domain: s.Domain(), Model: s.Key().Model(), Room: exportRoom,
		})
	}

	return targets
}

// announced takes in that an instance is leaving: a backend server, or this one.
func (p *parts) announced(id fleet.InstanceID, at time.Time, source routing.Source) {
	if id == p.settings.Instance {
		klog.InfoS("this instance is reclaimed", "at", at)

		select {
		case p.reclaimed <- at:
		default:
		}

		return
	}

	if server, ok := p.directory.Server(id); ok {
		p.desk.SetDomains(p.places())
		p.desk.Notice(evacuation.Notice{Server: id, Domain: server.Domain(), At: at})
	}

	if p.peers != nil && source != routing.SourcePeer {
		p.peers.tell(kindLeaving, LeavingNews{Instance: id, At: at})
	}
}

// places returns what is known of each failure domain.
func (p *parts) places() map[fleet.FailureDomain]evacuation.DomainInfo {
	out := make(map[fleet.FailureDomain]evacuation.DomainInfo)

	m := p.manifest()
	if m == nil {
		return out
	}

	for _, region := range m.Regions() {
		for _, domain := range region.FailureDomains() {
			out[domain.Name()] = evacuation.DomainInfo{Region: region.Name(), Price: dearest(domain)}
		}
	}

	for _, server := range p.directory.Servers() {
		place := out[server.Domain()]
		place.Instances++
		out[server.Domain()] = place
	}

	return out
}

// dearest returns the greatest price of a reclaimable instance.
func dearest(d manifest.FailureDomain) float64 {
	price := 0.0
	for _, class := range d.Classes() {
		price = max(price, class.PricePerHour(provider.Reclaimable))
	}

	return price
}
