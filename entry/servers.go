package entry

import (
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

func id(key string) fleet.InstanceID { return fleet.InstanceID(key) }

// same tells whether two lists of servers mean the same. The time at which a
// reclaimed server leaves is estimated anew with each entry and does not count.
func same(a, b []register.Server) bool {
	if len(a) != len(b) {
		return false
	}

	for i := range a {
		if !sameServer(a[i], b[i]) {
			return false
		}
	}

	return true
}

func sameServer(a, b register.Server) bool {
	a.Leaves = b.Leaves

	return a == b
}

// byServer returns servers by their ids.
func byServer(servers []register.Server) map[fleet.InstanceID]register.Server {
	known := make(map[fleet.InstanceID]register.Server, len(servers))
	for _, s := range servers {
		known[s.ID] = s
	}

	return known
}

// logServers logs servers that came or began to leave.
func logServers(before, after []register.Server) {
	old := byServer(before)

	for _, s := range after {
		was, known := old[s.ID]

		switch {
		case !known:
			klog.InfoS("backend server came", "server", s.ID, "service", s.Service, "address", s.Address,
				"failureDomain", s.Domain, "reclaimable", s.Reclaimable)
		case s.Leaving && !was.Leaving:
			klog.InfoS("backend server leaves", "server", s.ID, "service", s.Service, "leaves", s.Leaves)
		}
	}
}

// connectionMargin is the part of a server's connections that instances share; the
// rest is for those that were counted as gone and are not.
const connectionMargin = 0.8

// shareConnections gives this instance its share of each server's connections.
func (p *parts) shareConnections() {
	rules := p.rules.Load()
	if rules == nil {
		return
	}

	n := p.count()

	for _, s := range p.register.Servers() {
		service := rules.Service(s.Service)
		if service == nil || service.MaxConnections <= 0 {
			continue
		}

		p.pool.SetLimit(s.ID, max(int(float64(service.MaxConnections)*connectionMargin)/n, 1))
	}
}
