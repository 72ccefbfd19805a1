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

// formingRounds is how many rounds of heartbeats make one while there are no relays yet.
const formingRounds = 4

// updatePlan finds anew whom this instance tells, and who leads. It is called in each round
// of heartbeats.
func (p *components) updatePlan(now time.Time) *topology.Plan {
	view := p.directory.Load()
	if view == nil {
		return p.plan.Load()
	}

	plan := p.links.Plan(now, p.members.All())
	before := p.plan.Swap(plan)
	p.scheduler.SetRelay(plan.Relay)
	p.permits.Granter.SetLeaders(now, plan.Leaders)

	wasLeader, isLeader := before.IsLeader(p.self()), plan.IsLeader(p.self())
	if wasLeader != isLeader || before.Relay != plan.Relay || !slices.Equal(before.Leaders, plan.Leaders) {
		klog.InfoS("instances that lead", "leaders", plan.Leaders, "leads", isLeader, "relay", plan.Relay, "members", plan.InstanceCount)
	}

	switch {
	case plan.FullMesh:
	case !isLeader:
		p.limits.SetCoordinators(now, plan.Leaders)
		// It asks the keepers for each request, and has nothing to read.
		if p.coordinators.isReady() && !p.limits.HasSynced() {
			p.limits.MarkSynced(now)
		}
	case !wasLeader || !slices.Equal(before.Leaders, plan.Leaders):
		// It keeps limits with the others once it has read what was recorded.
		p.board.Wake()
	}

	p.updateUpstream()

	if before.InstanceCount != plan.InstanceCount {
		p.splitBudgets()
	}

	return plan
}

// splitBudgets gives this instance its part of what all may use together.
func (p *components) splitBudgets() {
	p.retries.SetMinRetries(p.bounds.Load().Retries() / p.instanceCount())
	p.setConnectionLimits()
}

// setLimitMembers sets who keeps the limits, once all records were read.
func (p *components) setLimitMembers(now time.Time) {
	plan := p.updatePlan(now)

	if plan.FullMesh {
		p.limits.SetMembers(p.members.IDs(), plan.Leaders)
	} else {
		p.limits.SetCoordinators(now, plan.Leaders)
	}
}

// relayPeers returns the relays, and those that lead, that this instance sends heartbeats to.
func (p *components) relayPeers(now time.Time) map[fleet.InstanceID]netip.AddrPort {
	plan := p.updatePlan(now)

	if view := p.directory.Load(); view != nil && view.Forming && !plan.IsLeader(p.self()) && p.formingRound.Add(1)%formingRounds != 1 {
		// All others turn to the first instance at once.
		return nil
	}

	peers := addressesOf(plan.Relays)

	if plan.IsLeader(p.self()) {
		// Those that keep limits tell each other, whether they are relays here or not.
		maps.Copy(peers, p.leaderAddresses(plan))
	}

	return peers
}

// subscriberAddresses returns the instances that turned to this one.
func (p *components) subscriberAddresses(time.Time) map[fleet.InstanceID]netip.AddrPort {
	return addressesOf(p.plan.Load().Subscribers)
}

// addressOf returns the address of an instance for messages of others, if it is known.
func (p *components) addressOf(id fleet.InstanceID) (netip.AddrPort, bool) {
	if view := p.directory.Load(); view != nil {
		if address, ok := view.addresses[id]; ok {
			return address, true
		}
	}

	return p.members.Address(id)
}

// leaderAddresses returns where the others that lead hear this instance.
func (p *components) leaderAddresses(plan *topology.Plan) map[fleet.InstanceID]netip.AddrPort {
	addresses := make(map[fleet.InstanceID]netip.AddrPort, len(plan.Leaders))

	for _, id := range plan.Leaders {
		if address, ok := p.addressOf(id); ok && id != p.self() {
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

// isLeader tells whether this instance is one of the few that read the store, keep limits
// and hold duties for all.
func (p *components) isLeader() bool { return p.plan.Load().IsLeader(p.self()) }
