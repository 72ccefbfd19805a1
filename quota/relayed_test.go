package quota

import (
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// newRelayCoordinator returns one of three coordinators that has read the records.
func newRelayCoordinator(self fleet.InstanceID) *Quota {
	q := New(Policy{Self: self, Window: 8 * time.Second, PropagationDelay: 2 * time.Second})
	q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
	q.SetCoordinators(start, []fleet.InstanceID{"entry-1", "entry-2", "entry-3"})
	q.MarkSynced(start)

	return q
}

// A coordinator that returns from a partition learns from one that acknowledges what a third
// one, which it cannot reach, has granted.
func TestReturningCoordinatorLearnsConsumptionOfSilentOnes(t *testing.T) {
	returning, connected := newRelayCoordinator("entry-1"), newRelayCoordinator("entry-2")
	connected.Receive(start, "entry-3", 1, []Consumption{{Account: "a", Total: 400_000, Recent: 400_000, Asked: 400_000}})

	now := start.Add(time.Second)
	silent := returning.SilentCoordinators(now)

	if want := []fleet.InstanceID{"entry-2", "entry-3"}; !slices.Equal(silent, want) {
		t.Fatalf("silent coordinators: got %v, want %v", silent, want)
	}

	returning.ReceiveRelayed(now, connected.RelayConsumption(now, silent))
	returning.Acknowledged(now, "entry-2")
	returning.Acknowledged(now, "entry-3")

	if got, most := returning.Take(now, "a", 100).Remaining, usableFraction*amount-400_000; got > most {
		t.Errorf("remaining: got %.0f, want at most %.0f", got, most)
	}

	if got := returning.SilentCoordinators(now); len(got) > 0 {
		t.Errorf("silent coordinators after acknowledgments: got %v, want none", got)
	}
}

// What others relay may be out of date, and must not replace what an instance has consumed since
// its restart.
func TestRelayedConsumptionOfEarlierIncarnationIsIgnored(t *testing.T) {
	q := newRelayCoordinator("entry-1")
	q.Receive(start, "entry-3", 2, []Consumption{{Account: "a", Total: 1000, Recent: 1000}})
	q.ReceiveRelayed(start, []RelayedConsumption{
		{Instance: "entry-3", Incarnation: 1, Consumption: Consumption{Account: "a", Total: 9000, Recent: 9000}},
		{Instance: "entry-3", Incarnation: 2, Consumption: Consumption{Account: "a", Total: 400, Recent: 400}},
		{Instance: "entry-1", Incarnation: 1, Consumption: Consumption{Account: "a", Total: 9000, Recent: 9000}},
		{Instance: "entry-3", Incarnation: 2, Consumption: Consumption{Account: "unknown", Total: 9000, Recent: 9000}},
	})

	relayed := q.RelayConsumption(start, []fleet.InstanceID{"entry-1", "entry-2", "entry-3"})
	if len(relayed) != 1 || relayed[0].Incarnation != 2 || relayed[0].Consumption.Total != 1000 {
		t.Errorf("known consumption: got %v, want 1000 of the second incarnation", relayed)
	}
}

// A coordinator that is cut off from another one before that restarts learns of the rest that its
// earlier process consumed, and counts it once.
func TestRelayedConsumptionContainsEarlierIncarnations(t *testing.T) {
	returning, connected := newRelayCoordinator("entry-1"), newRelayCoordinator("entry-2")
	earlier := func(total float64) []Consumption {
		return []Consumption{{Account: "a", Total: total, Recent: total, Asked: total}}
	}

	returning.Receive(start, "entry-3", 1, earlier(50_000))
	connected.Receive(start, "entry-3", 1, earlier(100_000))

	now := start.Add(time.Second)
	connected.Receive(now, "entry-3", 2, earlier(10_000))

	for range 2 {
		returning.ReceiveRelayed(now, connected.RelayConsumption(now, []fleet.InstanceID{"entry-3"}))
	}

	got := returning.RelayConsumption(now, []fleet.InstanceID{"entry-3"})
	if len(got) != 1 || got[0].Consumption.Recent != 110_000 || got[0].Consumption.Total != 10_000 {
		t.Errorf("known consumption: got %v, want 110,000 in the window and 10,000 of the second incarnation", got)
	}
}

// Instances that share the allowances, or leave them to coordinators, relay nothing.
func TestOnlyCoordinatorsReportSilentOnes(t *testing.T) {
	q := newRelayCoordinator("entry-9")

	if got := q.SilentCoordinators(start); len(got) > 0 {
		t.Errorf("instance that does not coordinate: got %v, want none", got)
	}

	q.SetMembers([]fleet.InstanceID{"entry-1", "entry-9"}, nil)

	if got := q.SilentCoordinators(start); len(got) > 0 {
		t.Errorf("instances that share allowances: got %v, want none", got)
	}
}
