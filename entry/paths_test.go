package entry

import (
	"context"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/detour"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/topology"
)

// Guards against requests of other instances that end with an instance which already stops.
func TestStoppingInstanceTakesNoRequestsOfOthers(t *testing.T) {
	p := newLargeComponents(clock.NewManual(time.Unix(1_790_000_000, 0)), 1, 0)
	p.stopping.Store(true)

	run, refusal := p.prepareDetour(context.Background(), forward.DetourRequest{Request: &forward.Request{}})
	if run != nil || refusal == nil || !refusal.NotRun {
		t.Errorf("got %v, want a refusal as not run", refusal)
	}
}

// Guards against partitioned instances of a large fleet that know no instance that helps: their
// relay names some, those of other relays too, but none that can't reach the service or stops.
func TestRelayNamesHelpers(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	relay := newLargeComponents(clock.NewManual(now), 1, 0)
	relay.helpers = &detour.Helpers{Self: "relay"}
	relay.plan.Store(&topology.Plan{Relay: true})

	lost := []fleet.Service{"api"}
	for _, h := range []heartbeat{
		{Instance: "partitioned", Address: "10.0.0.1:7600", Detours: true, LostServices: lost, WantsHelpers: true},
		{Instance: "healthy", Address: "10.0.0.2:7600", Detours: true},
		{Instance: "older", Address: "10.0.0.3:7600"},
		{Instance: "stopping", Address: "10.0.0.4:7600", Detours: true},
		{Instance: "stopping", Address: "10.0.0.4:7600", Detours: true, Stopping: true},
		{Instance: "other relay", Address: "10.0.0.5:7600", Detours: true, LostServices: lost, Helpers: []detour.Helper{{ID: "far", Address: "10.0.1.1:7600"}}},
	} {
		relay.recordHelpers(now, &h)
	}

	named := make(map[fleet.InstanceID]bool)
	for _, helper := range relay.helpersFor(now, "partitioned") {
		named[helper.ID] = true
	}

	if len(named) != 2 || !named["healthy"] || !named["far"] {
		t.Errorf("named: got %v, want the healthy instance and the one that the other relay named", named)
	}

	if got := relay.helpersFor(now, "healthy"); len(got) != 0 {
		t.Errorf("named to an instance that wants none: got %v, want none", got)
	}

	if got, want := relay.helperRequests.any(now), true; got != want {
		t.Errorf("asks other relays: got %v, want %v", got, want)
	}

	if got, want := relay.helperRequests.any(now.Add(helperRequestTTL)), false; got != want {
		t.Errorf("asks other relays later: got %v, want %v", got, want)
	}
}
