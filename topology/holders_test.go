package topology

import (
	"fmt"
	"slices"
	"testing"

	"monsoonlever/fleet"
)

// Checks that the holders of a key lie in different failure domains, that keys spread over all
// members, and that one member that goes changes one of the holders at most.
func TestHolders(t *testing.T) {
	const (
		members, domains, holders, keys = 50, 5, 3, 5000
		// maxLoad is the largest load of a member, in parts of the mean.
		maxLoad = 1.5
	)

	var all []Member
	for i := range members {
		all = append(all, Member{ID: fleet.InstanceID(fmt.Sprint("entry-", i)), Domain: fleet.FailureDomain(fmt.Sprint("d", i%domains))})
	}

	load := make(map[fleet.InstanceID]int)

	for key := range uint64(keys) {
		chosen := Holders(key, all, holders)
		seen := make(map[fleet.FailureDomain]bool)

		for _, id := range chosen {
			load[id]++
			seen[all[slices.IndexFunc(all, func(m Member) bool { return m.ID == id })].Domain] = true
		}

		if len(chosen) != holders || len(seen) != holders {
			t.Fatalf("key %d: got %v, want %d in different failure domains", key, chosen, holders)
		}

		left := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.ID == chosen[0] })
		kept := slices.DeleteFunc(Holders(key, left, holders), func(id fleet.InstanceID) bool { return !slices.Contains(chosen, id) })

		if len(kept) < holders-1 {
			t.Errorf("key %d without %s: got %d of the holders before, want %d", key, chosen[0], len(kept), holders-1)
		}
	}

	for id, n := range load {
		if got, want := float64(n), maxLoad*keys*holders/members; got > want {
			t.Errorf("%s: got %v keys, want at most %v", id, got, want)
		}
	}
}
