package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

func TestPickReturnsUsablePreferredServer(t *testing.T) {
	now := time.Unix(1000, 0)
	key := NewKey("payrun-api", "", "", "")

	tests := []struct {
		desc    string
		prefer  fleet.InstanceID
		exclude []fleet.InstanceID
		leaving bool
		want    bool
	}{
		{desc: "usable", prefer: "b", want: true},
		{desc: "excluded", prefer: "b", exclude: []fleet.InstanceID{"b"}},
		{desc: "leaving", prefer: "b", leaving: true},
		{desc: "unknown", prefer: "z"},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := &Table{}
			table.UpdateList(now, []provider.Listing{
				{ID: "a", Service: "payrun-api", Address: "a:1", State: provider.Live},
				{ID: "b", Service: "payrun-api", Address: "b:1", State: provider.Live},
				{ID: "c", Service: "payrun-api", Address: "c:1", State: provider.Live},
			})

			if tt.leaving {
				table.MarkLeaving(now, "b", SourceNotice)
			}

			random := rand.New(rand.NewPCG(1, 1))
			preferredPicks := 0

			for range 30 {
				choice, err := table.Pick(now, random, NewRequest(key).Preferring(tt.prefer).Excluding(tt.exclude))
				if err != nil {
					t.Fatal(err)
				}

				if choice.ID() == tt.prefer {
					preferredPicks++
				}
			}

			if got := preferredPicks == 30; got != tt.want {
				t.Errorf("preferred server always picked: got %v (%d of 30), want %v", got, preferredPicks, tt.want)
			}
		})
	}
}
