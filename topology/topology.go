// Package topology decides which entry instances tell each other what.
//
// A few instances are all relays: each tells each. Of many, each failure domain has a
// few relays, which tell each other, and every other instance tells one relay and is
// told by it. So what one instance sends and reads hardly grows with their number: with
// 410 instances in five domains, one that is no relay exchanges messages with one other,
// and a relay with 40 (TestMessagesHardlyGrowWithTheFleet). Any instance may be a relay:
// all that know the same members name the same ones, and one that falls silent is
// replaced by the next. A member whose relay is silent turns to another at once.
//
// The relays follow from the members where an instance knows them all, or are assigned to
// it by a directory.
//
// Five of the relays lead: they read the platform's store for all, hold the duties and
// keep the limits of client accounts.
//
// Links is a step: members and messages with their times go in, a Plan comes out.
//
// # Usage
//
//	links := &topology.Links{Self: "entry-1"}
//	plan := links.Plan(now, members)
//	for _, peer := range plan.Peers() {
//		send(peer.Address, message)
//	}
//	links.Heard(now, from, topology.ToRelay)
package topology

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

const (
	// FullMeshMax is the number of instances up to which each tells each: 12 of them send no
	// more messages than a relay does.
	FullMeshMax = 12
	// minRelaysPerDomain is the least number of relays of a failure domain: while one is
	// lost its members turn to the other.
	minRelaysPerDomain = 2
	// membersPerRelay bounds how many members a relay tells: the more they are, the older
	// is their news (TestNewsIsYoungHoweverManyInstances).
	membersPerRelay = 20
	// maxLeaders is how many instances lead: some may be frozen, cut off from the store or
	// killed at once.
	maxLeaders = 5
)

// Member is an entry instance as others know it.
type Member struct {
	ID     fleet.InstanceID
	Domain fleet.FailureDomain
	// Address is where it hears others; the zero value is not known.
	Address netip.AddrPort
	// Cores is its share of processor cores. Larger instances relay and lead first.
	Cores float64
}

// hashedMember is a member with the hash of its id.
type hashedMember struct {
	Member
	hash uint64
}

// Rank orders members alike for all that know them: the larger first, then by hash.
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

// TargetRelays is how many relays a failure domain of some instances should have, one of a
// number of domains.
func TargetRelays(instances, domains int) int {
	return max(minRelaysPerDomain, ceilDiv(instances, membersPerRelay), ceilDiv(maxLeaders, max(domains, 1)))
}

// RelaysOf returns the relays of ranked members, in their order.
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

// ceilDiv divides and rounds up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }

// leadersOf returns those of the relays that lead: one of each failure domain in turn,
// since a domain may be lost as a whole.
func leadersOf(relays []Member) []fleet.InstanceID {
	var ids []fleet.InstanceID

	remaining := slices.Clone(relays)

	for len(remaining) > 0 && len(ids) < maxLeaders {
		taken := make(map[fleet.FailureDomain]bool)
		skipped := remaining[:0]

		for _, m := range remaining {
			if taken[m.Domain] || len(ids) == maxLeaders {
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

// PreferredRelays orders relays for a member that is none: those of its own domain first,
// each member in an order of its own, so that they spread over the relays.
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

// PairWeight is the weight of one instance for another: of several instances each other one
// prefers that of the greatest weight, so that they spread.
func PairWeight(self, other fleet.InstanceID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(other))
}
