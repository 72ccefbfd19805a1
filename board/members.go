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

// Members tracks the entry instances that were seen recently. The zero value has no members.
type Members struct {
	mu      sync.Mutex
	members map[fleet.InstanceID]seenMember
	// lastExpireAt is when Expire was last called. steadySince is the start of the current
	// period without a gap between those calls, and lastTimeout is the timeout of the last
	// call.
	lastExpireAt, steadySince time.Time
	lastTimeout               time.Duration
}

// seenMember is a member with the time at which it was last seen.
type seenMember struct {
	topology.Member
	at time.Time
}

// ReceiveRecord adds or refreshes the instance that wrote a record, or removes it if it is
// leaving.
func (m *Members) ReceiveRecord(now time.Time, r Record) {
	if !r.Leaving {
		m.Add(now, MemberOf(r.Instance, r.Domain, r.Address, r.Cores))

		return
	}

	m.Remove(r.Instance)
}

// MemberOf returns an instance as it describes itself.
func MemberOf(id fleet.InstanceID, domain fleet.FailureDomain, address string, cores float64) topology.Member {
	// An invalid address becomes the zero value; nothing is sent to it.
	at, _ := netip.ParseAddrPort(address)

	return topology.Member{ID: id, Domain: domain, Address: at, Cores: cores}
}

// Add adds an instance that was seen now, or replaces its entry.
func (m *Members) Add(now time.Time, member topology.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.members == nil {
		m.members = make(map[fleet.InstanceID]seenMember)
	}

	m.members[member.ID] = seenMember{Member: member, at: now}
}

// Remove removes an instance that announced its stop.
func (m *Members) Remove(id fleet.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, id)
}

// Refresh records that a message of a member was received; an unknown instance is ignored.
func (m *Members) Refresh(now time.Time, id fleet.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if entry, ok := m.members[id]; ok {
		entry.at = now
		m.members[id] = entry
	}
}

// All returns all members in no particular order.
func (m *Members) All() []topology.Member {
	m.mu.Lock()
	defer m.mu.Unlock()

	all := make([]topology.Member, 0, len(m.members))
	for _, entry := range m.members {
		all = append(all, entry.Member)
	}

	return all
}

// Address returns the address where an instance receives gossip, and reports whether it is
// known.
func (m *Members) Address(id fleet.InstanceID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	entry := m.members[id]

	return entry.Address, entry.Address.IsValid()
}

// Expire removes the members that were not seen for longer than timeout and returns their IDs.
// It is called only after the board was read to its end, since a board that can't be read gives
// no information on the members. It removes no members until it has been called for the length
// of timeout without a gap.
func (m *Members) Expire(now time.Time, timeout time.Duration) []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now.Sub(m.lastExpireAt) > timeout/2 || timeout < m.lastTimeout {
		// The board was unavailable, so that other instances could not be seen either. Or the
		// timeout has become shorter because this instance now receives more messages, the
		// first of which are still to come.
		m.steadySince = now
	}

	m.lastExpireAt, m.lastTimeout = now, timeout

	if now.Sub(m.steadySince) < timeout {
		return nil
	}

	var expired []fleet.InstanceID

	for id, entry := range m.members {
		if now.Sub(entry.at) > timeout {
			expired = append(expired, id)
			delete(m.members, id)
		}
	}

	return expired
}

// Count returns the number of members, at least one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return max(len(m.members), 1)
}

// IDs returns the sorted IDs of the members.
func (m *Members) IDs() []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	return slices.Sorted(maps.Keys(m.members))
}
