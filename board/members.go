package board

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

// Members are the entry instances that were heard of lately. The zero value knows
// none.
type Members struct {
	mu      sync.Mutex
	members map[fleet.InstanceID]seenMember
	// lastExpireAt is when Expire was last called, and steadySince since when without a gap.
	lastExpireAt, steadySince time.Time
	lastTimeout               time.Duration
}

type seenMember struct {
	topology.Member
	at time.Time
}

// ReceiveRecord takes a record of an instance in.
func (m *Members) ReceiveRecord(now time.Time, r Record) {
	if !r.Leaving {
		m.Add(now, MemberOf(r.Instance, r.Domain, r.Address, r.Cores))

		return
	}

	m.Remove(r.Instance)
}

// MemberOf returns an instance as it tells of itself.
func MemberOf(id fleet.InstanceID, domain fleet.FailureDomain, address string, cores float64) topology.Member {
	// An address that is none is not told anything.
	at, _ := netip.ParseAddrPort(address)

	return topology.Member{ID: id, Domain: domain, Address: at, Cores: cores}
}

// Add takes in that an instance was heard directly.
func (m *Members) Add(now time.Time, member topology.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.members == nil {
		m.members = make(map[fleet.InstanceID]seenMember)
	}

	m.members[member.ID] = seenMember{Member: member, at: now}
}

// Remove takes in that an instance stops.
func (m *Members) Remove(id fleet.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, id)
}

// Refresh takes in that an instance that is known has said something.
func (m *Members) Refresh(now time.Time, id fleet.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if one, ok := m.members[id]; ok {
		one.at = now
		m.members[id] = one
	}
}

// All returns all instances, in no order.
func (m *Members) All() []topology.Member {
	m.mu.Lock()
	defer m.mu.Unlock()

	all := make([]topology.Member, 0, len(m.members))
	for _, one := range m.members {
		all = append(all, one.Member)
	}

	return all
}

// Address returns where an instance hears gossip, if it is known.
func (m *Members) Address(id fleet.InstanceID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	one := m.members[id]

	return one.Address, one.Address.IsValid()
}

// Expire drops the instances that have been silent for longer than lapse. It is called
// only after the board was read to its end: one that can't be read says nothing of
// the others.
func (m *Members) Expire(now time.Time, timeout time.Duration) []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now.Sub(m.lastExpireAt) > timeout/2 || timeout < m.lastTimeout {
		// The board was away: others could not be heard either. And one that hears more
		// of the others than before has yet to hear them.
		m.steadySince = now
	}

	m.lastExpireAt, m.lastTimeout = now, timeout

	if now.Sub(m.steadySince) < timeout {
		return nil
	}

	var expired []fleet.InstanceID

	for id, one := range m.members {
		if now.Sub(one.at) > timeout {
			expired = append(expired, id)
			delete(m.members, id)
		}
	}

	return expired
}

// Count returns how many instances there are, at least one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return max(len(m.members), 1)
}

// IDs returns the instances in the order of their names.
func (m *Members) IDs() []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	return slices.Sorted(maps.Keys(m.members))
}
