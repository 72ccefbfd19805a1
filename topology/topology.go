// Package topology decides which entry instances exchange messages directly.
//
// Up to FullMeshMax instances form a full mesh: each instance sends to every other. In larger
// fleets each failure domain has a few relays, the relays form a mesh, and every other instance
// subscribes to one relay, which it sends to and receives from. The number of messages that one
// instance sends and receives therefore hardly grows with the fleet: of 410 instances in five
// failure domains, an instance that is no relay exchanges messages with one peer, and a relay
// with 40 (TestMessageRateGrowsSublinearly). Any instance can be a relay: all instances that
// know the same members choose the same relays, and a relay that falls silent is replaced by
// the next in rank. A member whose relay is silent immediately tries other relays.
//
// An instance that knows all members computes the relays from them. Otherwise a directory
// assigns the relays.
//
// Five of the relays are leaders: they read the platform's store on behalf of all instances,
// hold the duties and coordinate the limits of client accounts.
//
// Links is a deterministic state machine: members and received messages with their times are its input,
// a Plan is its output.
//
// # Usage
//
//	links := &topology.Links{Self: self}
//	plan := links.Plan(now, members)
//	for _, peer := range plan.Peers() {
//		send(peer.Address, message)
//	}
//	links.MessageReceived(now, from, topology.ToRelay)
package topology

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

const (
	// FullMeshMax is the largest number of instances that form a full mesh: 12 instances in a
	// full mesh send no more messages than a relay does.
	FullMeshMax = 12
	// minRelaysPerDomain lets the members of a failure domain switch to the second relay while
	// the first is lost.
	minRelaysPerDomain = 2
	// membersPerRelay bounds the members per relay: the more members a relay sends to, the
	// older is the state that they receive (TestStateAgeIsBoundedAtAnyFleetSize).
	membersPerRelay = 20
	// maxLeaders leaves working leaders when several of them hang, lose the store or are killed
	// at the same time.
	maxLeaders = 5
)

// Member describes an entry instance to other instances.
type Member struct {
	ID     fleet.InstanceID
	Domain fleet.FailureDomain
	// Address is where the instance receives messages; the zero value is unknown.
	Address netip.AddrPort
	// Cores is the instance's share of processor cores. Larger instances are preferred as
	// relays and leaders.
	Cores float64
}

// hashedMember is a member with the hash of its ID.
type hashedMember struct {
	Member
	hash uint64
}

// Rank sorts members by decreasing cores, then by the hash of their ID, so that all instances
// that know the same members get the same order.
func Rank(members []Member) []Member {
	ranked := make([]hashedMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, hashedMember{Member: m, hash: xxhash.Sum64String(string(m.ID))})
	}

	slices.SortFunc(ranked, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
	})

	ordered := make([]Member, 0, len(ranked))
	for _, m := range ranked {
		ordered = append(ordered, m.Member)
	}

	return ordered
}

// TargetRelays returns how many relays a failure domain with the given number of instances
// should have, in a fleet of the given number of domains.
func TargetRelays(instances, domains int) int {
	return max(minRelaysPerDomain, ceilDiv(instances, membersPerRelay), ceilDiv(maxLeaders, max(domains, 1)))
}

// RelaysOf chooses the relays among ranked members and returns them in rank order. In a full
// mesh every member is a relay.
func RelaysOf(ranked []Member) []Member {
	if len(ranked) <= FullMeshMax {
		return ranked
	}

	sizes := make(map[fleet.FailureDomain]int)
	for _, m := range ranked {
		sizes[m.Domain]++
	}

	chosen := make(map[fleet.FailureDomain]int)

	var relays []Member

	for _, m := range ranked {
		if chosen[m.Domain] < TargetRelays(sizes[m.Domain], len(sizes)) {
			chosen[m.Domain]++
			relays = append(relays, m)
		}
	}

	return relays
}

// ceilDiv returns a divided by b, rounded up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }

// leadersOf chooses the leaders among relays in rank order.
func leadersOf(relays []Member) []fleet.InstanceID { return spreadOverDomains(relays, maxLeaders) }

// Holders returns up to n of the members that hold copies of what belongs to a key, in the order of
// rendezvous hashing: members that come or go change few of the holders of a key.
func Holders(key uint64, members []Member, n int) []fleet.InstanceID {
	ranked := make([]hashedMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, hashedMember{Member: m, hash: mixHash(xxhash.Sum64String(string(m.ID)) ^ key)})
	}

	slices.SortFunc(ranked, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
	})

	ordered := make([]Member, 0, len(ranked))
	for _, m := range ranked {
		ordered = append(ordered, m.Member)
	}

	return spreadOverDomains(ordered, n)
}

// mixHash spreads each bit of a value over all bits of the result, as the finalizer of SplitMix64.
func mixHash(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb

	return v ^ v>>31
}

// spreadOverDomains returns the first n members of an order. It takes one member of each failure
// domain in turn, because a whole domain may be lost.
func spreadOverDomains(ordered []Member, n int) []fleet.InstanceID {
	var ids []fleet.InstanceID

	remaining := slices.Clone(ordered)

	for len(remaining) > 0 && len(ids) < n {
		taken := make(map[fleet.FailureDomain]bool)
		skipped := remaining[:0]

		for _, m := range remaining {
			if taken[m.Domain] || len(ids) == n {
				skipped = append(skipped, m)

				continue
			}

			taken[m.Domain] = true
			ids = append(ids, m.ID)
		}

		remaining = skipped
	}

	return ids
}

// PreferredRelays orders relays by the preference of a member that is no relay: relays of its
// own failure domain first, then by a hash that differs from member to member and so spreads
// the members over the relays.
func PreferredRelays(self Member, relays []Member) []Member {
	ordered := slices.Clone(relays)
	slices.SortStableFunc(ordered, func(a, b Member) int {
		if own := a.Domain == self.Domain; own != (b.Domain == self.Domain) {
			if own {
				return -1
			}

			return 1
		}

		return cmp.Compare(PairWeight(self.ID, b.ID), PairWeight(self.ID, a.ID))
	})

	return ordered
}

// PairWeight returns the rendezvous hash of an instance and another instance: an instance that
// chooses among several others prefers the one with the greatest weight, which spreads the
// choices.
func PairWeight(self, other fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(other))
}
