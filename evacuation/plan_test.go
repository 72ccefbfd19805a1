package evacuation

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testPolicy exports 1000 tokens per second.
func testPolicy() Policy {
	return Policy{BytesPerToken: 1000, BytesPerSecond: 1000 * 1000, Margin: time.Second}
}

func testWave() *Wave {
	return &Wave{
		HalfLife: time.Minute,
		Domains: map[fleet.FailureDomain]DomainInfo{
			"a1": {Region: "a", Instances: 2, Price: 2},
			"a2": {Region: "a", Instances: 2, Price: 1},
			"a3": {Region: "a", Instances: 2, Price: 2},
			"b1": {Region: "b", Instances: 2, Price: 2},
		},
	}
}

func TestPlan(t *testing.T) {
	notice := Notice{Server: "s", Domain: "a1", At: testStart.Add(4 * time.Second)}
	streams := []Stream{
		{Attempt: "short", Server: "s", Tokens: 500},
		{Attempt: "long", Server: "s", Tokens: 2000},
		{Attempt: "medium", Server: "s", Tokens: 1000},
		{Attempt: "too long", Server: "s", Tokens: 5000},
	}
	roomy := Target{Server: "t1", Domain: "b1", Room: 9000}

	tests := []struct {
		desc    string
		streams []Stream
		targets []Target
		want    []backend.AttemptID
	}{
		{desc: "costliest first until the notice ends", streams: streams, targets: []Target{roomy}, want: []backend.AttemptID{"long", "medium"}},
		{desc: "no target", streams: streams},
		{desc: "target in the domain of the leaving server", streams: streams, targets: []Target{{Server: "t1", Domain: "a1", Room: 9000}}},
		{desc: "streams that fit into the room of the target", streams: streams, targets: []Target{{Server: "t1", Domain: "b1", Room: 1500}}, want: []backend.AttemptID{"medium", "short"}},
		{desc: "priority before length", streams: []Stream{{Attempt: "long", Tokens: 2000}, {Attempt: "urgent", Tokens: 1500, Priority: 1}}, targets: []Target{roomy}, want: []backend.AttemptID{"urgent"}},
		{desc: "target of another model", streams: []Stream{{Attempt: "x", Model: "m", Tokens: 1}}, targets: []Target{roomy}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			p := Planner{Policy: testPolicy(), Wave: testWave()}
			p.Policy.PriorityFactor = 2

			var got []backend.AttemptID
			for _, e := range p.Plan(testStart, notice, tt.streams, tt.targets) {
				got = append(got, e.Attempt)
			}

			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestPlanAvoidsHighRiskDomains(t *testing.T) {
	p := Planner{Policy: testPolicy(), Wave: testWave()}
	p.Wave.Note(testStart, "a1")

	notice := Notice{Server: "s", Domain: "a1", At: testStart.Add(4 * time.Second)}
	targets := []Target{
		{Server: "dear neighbour", Domain: "a3", Room: 9000},
		{Server: "cheap neighbour", Domain: "a2", Room: 9000},
		{Server: "other region", Domain: "b1", Room: 1000},
	}
	streams := []Stream{{Attempt: "x", Tokens: 1000}, {Attempt: "y", Tokens: 1000}}

	var got []fleet.InstanceID
	for _, e := range p.Plan(testStart, notice, streams, targets) {
		got = append(got, e.Target)
	}

	if want := []fleet.InstanceID{"cheap neighbour", "cheap neighbour"}; !reflect.DeepEqual(got, want) {
		t.Errorf("targets: got %v, want %v", got, want)
	}
}

func TestCoordinatorReplansWhenTargetLeaves(t *testing.T) {
	c := &Coordinator{Planner: Planner{Policy: testPolicy(), Wave: testWave()}}
	c.Targets([]Target{{Server: "t1", Domain: "b1", Room: 9000}, {Server: "t2", Domain: "a2", Room: 9000}})
	c.Notice(testStart, Notice{Server: "s", Domain: "a1", At: testStart.Add(9 * time.Second)})
	c.Enqueue(testStart, Stream{Attempt: "x", Server: "s", Tokens: 2000}, testStart)
	c.Enqueue(testStart, Stream{Attempt: "y", Server: "s", Tokens: 1000}, testStart)

	first := c.Turns(testStart)
	if want := 1; len(first) != want {
		t.Fatalf("turns: got %v, want %d", first, want)
	}

	c.Notice(testStart, Notice{Server: first[0].Target, Domain: "x", At: testStart.Add(20 * time.Second)})
	c.Done("x")

	other := fleet.InstanceID("t1")
	if first[0].Target == other {
		other = "t2"
	}

	got := c.Turns(testStart.Add(2 * time.Second))
	if want := []Turn{{Attempt: "y", Target: other}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestPlanFitsTimeAndRoom checks that no plan exceeds the time of the notice or the
// room of a target.
func TestPlanFitsTimeAndRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Planner{Policy: testPolicy(), Wave: testWave()}
		notice := Notice{Server: "s", Domain: "a1", At: testStart.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "notice")) * time.Second)}
		sizes := map[backend.AttemptID]int{}
		room := map[fleet.InstanceID]int{}

		var streams []Stream
		for i, n := range rapid.SliceOfN(rapid.IntRange(1, 4000), 0, 20).Draw(t, "streams") {
			id := backend.AttemptID(fmt.Sprintf("x%d", i))
			sizes[id] = n
			streams = append(streams, Stream{Attempt: id, Tokens: n})
		}

		var targets []Target
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 9000), 0, 4).Draw(t, "targets") {
			id := fleet.InstanceID(fmt.Sprintf("t%d", i))
			room[id] = n
			targets = append(targets, Target{Server: id, Domain: []fleet.FailureDomain{"a1", "a2", "a3", "b1"}[i], Room: n})
		}

		at := testStart
		for _, e := range p.Plan(testStart, notice, streams, targets) {
			room[e.Target] -= sizes[e.Attempt]
			delete(sizes, e.Attempt)

			if room[e.Target] < 0 || e.Start.Before(at) || e.Done.After(notice.At.Add(-time.Second)) || e.Target == "t0" {
				t.Fatalf("export %+v: room left %d, free from %v", e, room[e.Target], at)
			}

			at = e.Done
		}
	})
}
