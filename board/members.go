package board

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// Members are the entry instances that were heard of lately. The zero value knows
// none.
type Members struct {
	// Lapse is how long a silent instance counts.
	Lapse time.Duration

	mu    sync.Mutex
	heard map[fleet.InstanceID]time.Time
	// addresses are where the instances hear gossip.
	addresses map[fleet.InstanceID]netip.AddrPort
	// asked is when Expire was last called, and steady since when without a gap.
	asked, steady time.Time
}

// Heard takes a record of an instance in.
func (m *Members) Heard(now time.Time, r Record) {
	if !r.Leaving {
		m.Met(now, r.Instance, r.Address)

		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heard, r.Instance)
	delete(m.addresses, r.Instance)
}

// Met takes in that an instance was heard directly, and where it hears gossip.
func (m *Members) Met(now time.Time, id fleet.InstanceID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.heard == nil {
		m.heard = make(map[fleet.InstanceID]time.Time)
		m.addresses = make(map[fleet.InstanceID]netip.AddrPort)
	}

	m.heard[id] = now

	if a, err := netip.ParseAddrPort(address); err == nil {
		m.addresses[id] = a
	}
}

// Addresses returns where the instances but self hear gossip.
func (m *Members) Addresses(self fleet.InstanceID) map[fleet.InstanceID]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()

	addresses := maps.Clone(m.addresses)
	delete(addresses, self)

	return addresses
}

// Address returns where an instance hears gossip, if it is known.
func (m *Members) Address(id fleet.InstanceID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	address, ok := m.addresses[id]

	return address, ok
}

// leaders is how many instances read the store at full pace for all: some may be
// frozen, cut off from the store or killed at once.
const leaders = 5

// Leading tells whether an instance is one of the few that keep up with the store for
// all others. All that know the same members name the same ones; while fewer are known,
// an instance rather leads than not.
func (m *Members) Leading(id fleet.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.leading(id)
}

// Leaders returns the instances that are known to lead.
func (m *Members) Leaders() []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	var ids []fleet.InstanceID

	for id := range m.heard {
		if m.leading(id) {
			ids = append(ids, id)
		}
	}

	slices.Sort(ids)

	return ids
}

// First tells whether an instance is the first of those that lead.
func (m *Members) First(id fleet.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.before(id) == 0
}

func (m *Members) leading(id fleet.InstanceID) bool { return m.before(id) < leaders }

// before counts the members that lead before an instance.
func (m *Members) before(id fleet.InstanceID) int {
	own := xxhash.Sum64String(string(id))
	before := 0

	for other := range m.heard {
		if xxhash.Sum64String(string(other)) > own {
			before++
		}
	}

	return before
}

// Expire drops the instances that have been silent for too long. It is called
// only after the board was read to its end: one that can't be read says nothing of
// the others.
func (m *Members) Expire(now time.Time) []fleet.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now.Sub(m.asked) > m.Lapse/2 {
		// The board was away: others could not be heard either.
		m.steady = now
	}

	m.asked = now

	if now.Sub(m.steady) < m.Lapse {
		return nil
	}

	var gone []fleet.InstanceID

	for id, at := range m.heard {
		if now.Sub(at) > m.Lapse {
			gone = append(gone, id)
			delete(m.heard, id)
			delete(m.addresses, id)
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
