package register

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// For any sequence of changes, the list of servers and the digest equal those that result from
// the deltas.
func TestHoldsDeltasMatchServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register

		reconstructed := make(map[fleet.InstanceID]Server)
		version := uint64(0)

		draw := func() Change {
			version++
			c := Change{ID: fleet.InstanceID(fmt.Sprint("i-", rapid.IntRange(0, 40).Draw(t, "id"))), Version: version}

			if rapid.IntRange(0, 3).Draw(t, "there") > 0 {
				c.Server = &Server{
					ID: c.ID, Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "start")), Service: "llm",
					Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0, Slots: rapid.IntRange(1, 2).Draw(t, "slots"),
				}
			}

			return c
		}

		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			var changes []Change
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				changes = append(changes, draw())
			}

			var deltas []Delta

			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				deltas = r.Replace(changes)
			case 1:
				deltas = r.MarkLeaving([]Process{{ID: "i-3", Incarnation: 1}, {ID: "i-4", Incarnation: 2}})
			default:
				deltas = r.Apply(changes)
			}

			for _, d := range deltas {
				if d.After == nil {
					delete(reconstructed, d.Before.ID)
				} else {
					reconstructed[d.After.ID] = *d.After
				}
			}

			want := slices.SortedFunc(maps.Values(reconstructed), byID)
			if got := r.Servers(); !slices.Equal(got, want) {
				t.Fatalf("servers: got %v, want %v", got, want)
			}

			var fresh Register
			for _, s := range want {
				fresh.Apply([]Change{{ID: s.ID, Version: 1, Server: &s}})
			}

			if got, want := r.Digest(), fresh.Digest(); got != want {
				t.Fatalf("digest: got %x, want %x", got, want)
			}
		}
	})
}
