package answer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// Member is a live entry instance as membership sees it.
type Member struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	Region      fleet.Region
	Domain      fleet.FailureDomain
	Leaving     bool
}

// rank orders the members by rendezvous hashing, so that every instance finds
// the copies of a request in the same few places.
func rank(id RequestID, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}

	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{member: m, score: xxhash.Sum64String(string(id) + "/" + string(m.ID))})
	}

	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})

	out := make([]Member, 0, len(all))
	for _, s := range all {
		out = append(out, s.member)
	}

	return out
}
