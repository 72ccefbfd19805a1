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
	mu    sync.Mutex
	heard map[fleet.InstanceID]heardMember
	// asked is when Expire was last called, and steady since when without a gap.
	asked, steady time.Time
	lapse         time.Duration
}

type heardMember struct {
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

	if m.heard == nil {
		m.heard = make(map[fleet.InstanceID]heardMember)
	}

	m.heard[member.ID] = heardMember{Member: member, at: now}
}

// Remove takes in that an instance stops.
func (m *Members) Remove(id fleet.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heard, id)
}

// Refresh takes in that an instance that is known has said something.
func (m *Members) Refresh(now time.Time, id fleet.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if one, ok := m.heard[id]; ok {
		one.at = now
		m.heard[id] = one
	}
}

// All returns all instances, in no order.
func (m *Members) All() []topology.Member {
	m.mu.Lock()
	defer m.mu.Unlock()

	all := make([]topology.Member, 0, len(m.heard))
	for _, one := range m.heard {
		all = append(all, one.Member)
	}

	return all
}

// Address returns where an instance hears gossip, if it is known.
func (m *Members) Address(id fleet.InstanceID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	one := m.heard[id]

	return one.Address, one.Address.IsValid()
}

// Expire drops the instances that have been silent for longer than lapse. It is called
// only after the board was read to its end: one that can't be read says nothing of
// the others.
func (m *Members) Expire(now time.Time, lapse time.Duration) []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now.Sub(m.asked) > lapse/2 || lapse < m.lapse {
		// The board was away: others could not be heard either. And one that hears more
		// of the others than before has yet to hear them.
		m.steady = now
	}

	m.asked, m.lapse = now, lapse

	if now.Sub(m.steady) < lapse {
		return nil
	}

	var gone []fleet.InstanceID

	for id, one := range m.heard {
		if now.Sub(one.at) > lapse {
			gone = append(gone, id)
			delete(m.heard, id)
		}
	}

	return gone
}

// Count returns how many instances there are, at least one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return max(len(m.heard), 1)
}

// IDs returns the instances in the order of their names.
func (m *Members) IDs() []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	return slices.Sorted(maps.Keys(m.heard))
}
