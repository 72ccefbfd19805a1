package entry

import (
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

// threeLosses are three servers that ended under one request, as another instance tells it.
func threeLosses(now time.Time) []quarantine.Loss {
	var l quarantine.Ledger

	for i := range 3 {
		l.RecordLoss(now, 1, register.Process{ID: "i-1", Incarnation: fleet.Incarnation(i)}, quarantine.Strong)
	}

	return l.PendingLosses(now)
}

// Relays tell others what they hear; where all tell all, nobody does.
func TestOnlyRelaysForwardLosses(t *testing.T) {
	for name, tt := range map[string]struct {
		plan topology.Plan
		want int
	}{
		"a relay":          {topology.Plan{Relay: true}, 3},
		"one of few":       {topology.Plan{Relay: true, FullMesh: true}, 0},
		"one that is none": {topology.Plan{}, 0},
	} {
		clk := clock.NewManual(time.Unix(1_790_000_000, 0))
		p := newLargeComponents(clk, 1, 0)
		p.plan.Store(&tt.plan)
		p.receiveLosses(clk.Now(), threeLosses(clk.Now()))

		if got := len(p.quarantine.PendingLosses(clk.Now())); got != tt.want {
			t.Errorf("%s: got %d losses to pass on, want %d", name, got, tt.want)
		}

		if _, held := p.quarantine.Quarantined(clk.Now(), 1); !held {
			t.Errorf("%s: got the request served, want it held off", name)
		}
	}
}

// What is held off stands in an instance's records, and is known by who
// reads them.
func TestRecordsCarryQuarantine(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_790_000_000, 0))
	writer, reader := newRecordingComponents(clk), newRecordingComponents(clk)
	writer.receiveLosses(clk.Now(), threeLosses(clk.Now()))
	reader.receiveRecord(clk.Now(), writer.makeRecord(clk.Now()))

	if _, held := reader.quarantine.Quarantined(clk.Now(), 1); !held {
		t.Error("one that reads the records: got the request served, want it held off")
	}
}

// newRecordingComponents are the parts of an instance that writes records and reads those of others.
func newRecordingComponents(clk clock.Clock) *components {
	p := newLargeComponents(clk, 1, 0)
	p.settings.Bounds = settings.Bounds{Lease: 3 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second}
	p.board = &board.Board{}
	p.duties = newDuties(p)

	return p
}
