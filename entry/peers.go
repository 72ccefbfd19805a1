package entry

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// formingRounds is the number of rounds out of which one sends heartbeats while the directory has
// no relays yet.
const formingRounds = 4

// updatePlan updates the leaders, relays and subscribers from the connectivity to other instances.
// It is called in each round of heartbeats.
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
	if p.takesOverReads(before, plan) {
		p.rulesFeed.Wake()
		p.registerFeed.Wake()
	}

	if wasLeader != isLeader || before.Relay != plan.Relay || !slices.Equal(before.Leaders, plan.Leaders) {
		klog.InfoS("instances that lead", "leaders", plan.Leaders, "leads", isLeader, "relay", plan.Relay, "members", plan.InstanceCount)
	}

	switch {
	case plan.FullMesh:
	case !isLeader:
		p.limits.SetCoordinators(now, plan.Leaders)
		// This instance requests limits from the coordinators, so it has no records to read.
		if p.coordinators.isReady() && !p.limits.HasSynced() {
			p.limits.MarkSynced(now)
		}
	case !wasLeader || !slices.Equal(before.Leaders, plan.Leaders):
		// A new leader coordinates limits once it has read the recorded consumption.
		p.board.Wake()
	}

	p.updateUpstream()

	p.splitBudgets()

	return plan
}

// takesOverReads reports whether this instance has begun to lead, or to be the first of the leaders.
// Its pauses between two reads are then those of an instance that others keep up to date, and the
// others now rely on its reads.
func (p *components) takesOverReads(before, after *topology.Plan) bool {
	self := p.self()

	return after.IsLeader(self) && !before.IsLeader(self) || after.IsFirstLeader(self) && !before.IsFirstLeader(self)
}

// budgetSplit is the number of instances that share budgets, and this instance's part of the retries
// beside the share of the requests.
type budgetSplit struct {
	mu        sync.Mutex
	instances int
	retries   float64
	// members are the known instances if they are few enough to know each other.
	members []fleet.InstanceID
	// membersKnown is set once as many instances are known as the directory counts.
	membersKnown bool
}

// splitBudgets limits this instance to its share of the budgets that all instances have in common,
// if that share has changed.
func (p *components) splitBudgets() {
	p.budgetSplit.mu.Lock()
	defer p.budgetSplit.mu.Unlock()

	n := p.instanceCount()
	part := float64(p.bounds.Load().Retries()) / float64(p.budgetedInstances(n))

	if part != p.budgetSplit.retries {
		p.retries.SetMinRetries(p.clock.Now(), part)
		klog.InfoS("fixed part of the retry budget changed", "retries", part, "instances", n)
	}

	var members []fleet.InstanceID
	if p.fullMesh() {
		members = p.sortedMembers()
	}

	if n != p.budgetSplit.instances || !slices.Equal(members, p.budgetSplit.members) {
		p.setConnectionLimits()
	}

	p.budgetSplit.instances, p.budgetSplit.retries, p.budgetSplit.members = n, part, members
}

// budgetedInstances returns the number of instances by which a budget is divided, of which n are known:
// no fewer than the directory counts until so many were known. The caller holds budgetSplit.mu.
func (p *components) budgetedInstances(n int) int {
	view := p.directory.Load()
	if view == nil || p.budgetSplit.membersKnown {
		return n
	}

	p.budgetSplit.membersKnown = !view.Forming && n >= view.Count

	return max(n, view.Count)
}

// setLimitMembers sets the instances that share or coordinate the limits, once all records were
// read.
func (p *components) setLimitMembers(now time.Time) {
	plan := p.updatePlan(now)

	if plan.FullMesh {
		p.limits.SetMembers(p.members.IDs(), plan.Leaders)
	} else {
		p.limits.SetCoordinators(now, plan.Leaders)
	}
}

// relayPeers returns the relays and leaders to which this instance sends heartbeats.
func (p *components) relayPeers(now time.Time) map[fleet.InstanceID]netip.AddrPort {
	plan := p.updatePlan(now)

	if view := p.directory.Load(); view != nil && view.Forming && !plan.IsLeader(p.self()) && p.formingRound.Add(1)%formingRounds != 1 {
		// Most rounds are skipped, since all other instances send to the first one.
		return nil
	}

	peers := addressesOf(plan.Relays)

	if plan.IsLeader(p.self()) {
		// Coordinators of limits send to each other, whether they are this instance's relays or
		// not.
		maps.Copy(peers, p.leaderAddresses(plan))
	}

	return peers
}

// subscriberAddresses returns the addresses of this relay's subscribers.
func (p *components) subscriberAddresses(time.Time) map[fleet.InstanceID]netip.AddrPort {
	return addressesOf(p.plan.Load().Subscribers)
}

// addressOf returns the address of an instance for gossip, if it is known.
func (p *components) addressOf(id fleet.InstanceID) (netip.AddrPort, bool) {
	if view := p.directory.Load(); view != nil {
		if address, ok := view.addresses[id]; ok {
			return address, true
		}
	}

	return p.members.Address(id)
}

// leaderAddresses returns the addresses of the other leaders.
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

// isLeader reports whether this instance is one of the leaders, which read the store, coordinate
// limits and hold duties for all.
func (p *components) isLeader() bool { return p.plan.Load().IsLeader(p.self()) }
