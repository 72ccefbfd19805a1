package entry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// replan finds anew whom this instance tells, and who leads. It is called in each round
// of heartbeats.
func (p *parts) replan(now time.Time) *topology.Plan {
	plan := p.links.Plan(now, p.members.All())
	before := p.plan.Swap(plan)
	p.scheduler.SetRelay(plan.Relay)
	p.permits.Granter.SetLeaders(now, plan.Leaders)

	led, leads := before.Leads(p.self()), plan.Leads(p.self())
	if led != leads || before.Relay != plan.Relay || !slices.Equal(before.Leaders, plan.Leaders) {
		klog.InfoS("instances that lead", "leaders", plan.Leaders, "leads", leads, "relay", plan.Relay, "members", plan.Count)
	}

	switch {
	case plan.Few:
	case !leads:
		p.limits.Keepers(now, plan.Leaders)
	case !led:
		// It keeps limits once it has read what was recorded.
		p.board.Nudge()
	}

	return plan
}

// shareLimits sets who keeps the limits, once all records were read.
func (p *parts) shareLimits(now time.Time) {
	plan := p.replan(now)

	if plan.Few {
		p.limits.Members(p.members.IDs(), plan.Leaders)
	} else {
		p.limits.Keepers(now, plan.Leaders)
	}
}

// peers returns those that this instance sends heartbeats to.
func (p *parts) peers(now time.Time) map[fleet.InstanceID]netip.AddrPort {
	plan := p.replan(now)
	peers := addressesOf(plan.Peers())

	if plan.Leads(p.self()) {
		// Those that keep limits tell each other, whether they are relays here or not.
		maps.Copy(peers, p.leaders(plan))
	}

	return peers
}

// leaders returns where the others that lead hear this instance.
func (p *parts) leaders(plan *topology.Plan) map[fleet.InstanceID]netip.AddrPort {
	addresses := make(map[fleet.InstanceID]netip.AddrPort, len(plan.Leaders))

	for _, id := range plan.Leaders {
		if address, ok := p.members.Address(id); ok && id != p.self() {
			addresses[id] = address
		}
	}

	return addresses
}

func addressesOf(members []topology.Member) map[fleet.InstanceID]netip.AddrPort {
	addresses := make(map[fleet.InstanceID]netip.AddrPort, len(members))

	for _, m := range members {
		if m.Address.IsValid() {
			addresses[m.ID] = m.Address
		}
	}

	return addresses
}

// leads tells whether this instance is one of the few that read the store, keep limits
// and hold duties for all.
func (p *parts) leads() bool { return p.plan.Load().Leads(p.self()) }
