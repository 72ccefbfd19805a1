package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

func instanceID(key string) fleet.InstanceID { return fleet.InstanceID(key) }

// sameServer reports whether two entries of a server mean the same. The time at which a
// reclaimed server leaves is estimated anew with each entry and does not count.
func sameServer(a, b register.Server) bool {
	a.Leaves = b.Leaves

	return a == b
}

// logServerChanges logs servers that came, changed or went: one by one where this instance reads the
// store for others, and their numbers elsewhere.
func (p *components) logServerChanges(deltas []register.Delta) {
	if !p.readsStore() {
		klog.InfoS("backend servers changed", "changes", len(deltas), "servers", len(p.register.Servers()))

		return
	}

	for _, d := range deltas {
		logServerChange(d)
	}
}

func logServerChange(d register.Delta) {
	switch before, after := d.Before, d.After; {
	case after == nil:
		klog.InfoS("backend server is gone", "server", before.ID, "service", before.Service, "announced", before.Leaving)
	case before == nil:
		klog.InfoS("backend server came", "server", after.ID, "service", after.Service, "address", after.Address,
			"failureDomain", after.Domain, "reclaimable", after.Reclaimable)
	case before.Process() != after.Process():
		klog.InfoS("backend server started again", "server", after.ID, "service", after.Service,
			"incarnation", after.Incarnation, "before", before.Incarnation)
	case after.Leaving && !before.Leaving:
		klog.InfoS("backend server leaves", "server", after.ID, "service", after.Service, "leaves", after.Leaves)
	}
}

// sharedConnectionsShare is the part of a server's connections that instances share; the
// rest is for those that were counted as gone and are not.
const sharedConnectionsShare = 0.8

// setConnectionLimits gives this instance its share of each server's connections.
func (p *components) setConnectionLimits() {
	for _, s := range p.register.Servers() {
		p.setConnectionLimit(s)
	}
}

// setConnectionLimit gives this instance its share of one server's connections.
func (p *components) setConnectionLimit(s register.Server) {
	rules := p.rules.Load()
	if rules == nil {
		return
	}

	if service := rules.Service(s.Service); service != nil && service.MaxConnections > 0 {
		p.pool.SetLimit(s.ID, max(int(float64(service.MaxConnections)*sharedConnectionsShare)/p.instanceCount(), 1))
	}
}
