package entry

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/register"
	"monsoonlever/settings"
	"monsoonlever/topology"
)

// threeLosses returns the losses of three servers during one request, as another instance sends
// them.
func threeLosses(now time.Time) []quarantine.Loss {
	var l quarantine.Ledger

	for i := range 3 {
		l.RecordLoss(now, 1, register.Process{ID: "i-1", Incarnation: fleet.Incarnation(i)}, quarantine.Strong)
	}

	return l.PendingLosses(now)
}

// Relays forward the losses that they receive; in a full mesh, where every instance sends to all,
// no instance does.
func TestOnlyRelaysForwardLosses(t *testing.T) {
	for name, tt := range map[string]struct {
		plan topology.Plan
		want int
	}{
		"a relay":                {topology.Plan{Relay: true}, 3},
		"a relay of a full mesh": {topology.Plan{Relay: true, FullMesh: true}, 0},
		"no relay":               {topology.Plan{}, 0},
	} {
		clk := clock.NewManual(time.Unix(1_790_000_000, 0))
		p := newLargeComponents(clk, 1, 0)
		p.plan.Store(&tt.plan)
		p.receiveLosses(clk.Now(), threeLosses(clk.Now()))

		if got := len(p.quarantine.PendingLosses(clk.Now())); got != tt.want {
			t.Errorf("%s: got %d losses to forward, want %d", name, got, tt.want)
		}

		if _, held := p.quarantine.Quarantined(clk.Now(), 1); !held {
			t.Errorf("%s: got the request served, want it quarantined", name)
		}
	}
}

// The records of an instance carry its quarantined requests to the instances that read them.
func TestRecordsCarryQuarantine(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	writer, reader := newRecordingComponents(clk), newRecordingComponents(clk)
	writer.receiveLosses(clk.Now(), threeLosses(clk.Now()))
	reader.receiveRecord(clk.Now(), writer.makeRecord(clk.Now()))

	if _, held := reader.quarantine.Quarantined(clk.Now(), 1); !held {
		t.Error("reader of the records: got the request served, want it quarantined")
	}
}

// The records of an instance carry the parts of prompts that it holds off, and relays forward what
// others report of parts.
func TestRecordsCarryHeldParts(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	part := quarantine.PartKeys("llm", []string{"dead", "own"})
	writer, reader := newRecordingComponents(clk), newRecordingComponents(clk)

	for i := range 3 {
		at := clk.Now().Add(-time.Duration(i) * time.Second)
		writer.parts.RecordCrash(at, register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", i))}, part)
	}

	record := writer.makeRecord(clk.Now())
	reader.receiveRecord(clk.Now(), record)

	if _, held := reader.parts.Held(part); !held {
		t.Error("reader of the records: got the part served, want it held off")
	}

	for name, tt := range map[string]struct {
		plan topology.Plan
		want int
	}{
		"a relay":             {plan: topology.Plan{Relay: true}, want: 3},
		"an instance of few":  {plan: topology.Plan{Relay: true, FullMesh: true}},
		"an instance of many": {plan: topology.Plan{}},
	} {
		p := newLargeComponents(clk, 1, 0)
		p.plan.Store(&tt.plan)
		p.receiveParts(clk.Now(), record.Parts)

		if got := len(p.parts.PendingReports(clk.Now())); got != tt.want {
			t.Errorf("%s: got %d reports to forward, want %d", name, got, tt.want)
		}
	}
}

// newRecordingComponents returns the components of an instance that writes records and reads those
// of others.
func newRecordingComponents(clk clock.Clock) *components {
	p := newLargeComponents(clk, 1, 0)
	p.settings.Bounds = settings.Bounds{Lease: 3 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second}
	p.board = &board.Board{}
	p.duties = newDuties(p)

	return p
}
