package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"monsoonlever/backend"
	"monsoonlever/controller"
)

// statusOf asks an instance for its status.
func (d *deployment) statusOf(e *entry) Status {
	d.t.Helper()

	r, err := http.Get("http://" + e.addresses.Operators + PathStatus)
	if err != nil {
		d.t.Fatal(err)
	}
	defer r.Body.Close()

	var s Status
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		d.t.Fatal(err)
	}

	return s
}

func TestOneInstanceControlsTheRegionAndShowsItsDecisions(t *testing.T) {
	d := newDeployment(t, 2)

	var held controller.Status

	d.eventually("one holder with decisions that both name", func() bool {
		first, second := d.statusOf(d.entries[0]).Control, d.statusOf(d.entries[1]).Control
		if first == nil || second == nil || first.IsHolder == second.IsHolder || first.Holder != second.Holder {
			return false
		}

		held = *first
		if second.IsHolder {
			held = *second
		}

		return len(held.Decisions) > 0
	})

	if lines := strings.Join(held.Decisions, "\n"); !strings.Contains(lines, "ledger-llm: ") || !strings.Contains(lines, "payrun-api: ") {
		t.Errorf("decisions: got %q, want a line for each service", lines)
	}

	d.eventually("every engine has taken the holder's fencing number", func() bool {
		for _, e := range d.engines {
			if e.State().Fence != uint64(held.Fence) {
				return false
			}
		}

		return true
	})

	for _, e := range d.engines {
		want := backend.EngineState{Fence: uint64(held.Fence), Model: testModel, Version: testVersion, Ready: true}
		if got := e.State(); got != want {
			t.Errorf("engine: got %+v, want %+v", got, want)
		}
	}
}
