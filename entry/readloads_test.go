package entry

import (
	"bytes"
	"testing"
	"time"

	"monsoonlever/board"
	"monsoonlever/capacity"
	"monsoonlever/clock"
	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/register"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/usage"
)

// earlierCounts are usageCounts as instances without read loads encode them.
type earlierCounts struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Usage       []usage.Count     `msgpack:"u"`
	At          int64             `msgpack:"t,omitempty"`
	Work        []scheduling.Work `msgpack:"w,omitempty"`
	Forwarded   bool              `msgpack:"f,omitempty"`
}

func TestEarlierVersionsReadCountsWithReadLoads(t *testing.T) {
	work := []scheduling.Work{{Service: "llm", Arriving: 5, Speed: 7}}
	counts := usageCounts{Instance: "entry-1", Incarnation: 2, At: 3, Work: work, Forwarded: true}
	earlier := earlierCounts{Instance: "entry-1", Incarnation: 2, At: 3, Work: work, Forwarded: true}

	if got, want := encode(t, &counts), encode(t, &earlier); !bytes.Equal(got, want) {
		t.Errorf("message without read loads: got %x, want %x", got, want)
	}

	counts.ReadLoads = []scheduling.ReadLoad{{Service: "llm", Reading: 9, Rate: 95_000}}

	var got earlierCounts
	if err := codec.Unmarshal(encode(t, &counts), &got); err != nil || len(got.Work) != 1 || got.Work[0] != work[0] || !got.Forwarded {
		t.Errorf("message with read loads, read by an earlier version: got %+v and %v, want %+v", got, err, earlier)
	}

	var back usageCounts
	if err := codec.Unmarshal(encode(t, &earlier), &back); err != nil || len(back.ReadLoads) != 0 {
		t.Errorf("message of an earlier version: got %+v and %v, want no read loads", back, err)
	}
}

// newPlanningDuties returns the duties of an instance that plans a service of some servers, and
// whose input is what the functions return.
func newPlanningDuties(t *testing.T, servers int) *duties {
	t.Helper()

	var changes []register.Change

	for i := range servers {
		id := fleet.InstanceID(string(rune('a' + i)))
		changes = append(changes, register.Change{ID: id, Version: 1, Server: &register.Server{ID: id, Service: "llm", Domain: "ballerup-a", Reclaimable: true}})
	}

	r := &register.Register{}
	r.Replace(changes)

	return &duties{
		clock: clock.NewManual(time.Unix(1000, 0)), register: r, lastLogged: make(map[fleet.Service]loggedPlan),
		inTrial:     func(fleet.Service) (fleet.Version, uint64, bool) { return "", 0, false },
		utilization: func(time.Time, fleet.Service) (float64, bool) { return 0.2, true },
		totalPace:   func(time.Time, fleet.Service) (float64, bool) { return float64(servers), true },
		arriving:    func(time.Time) []scheduling.Work { return nil },
	}
}

func planningService() *ruleset.Service {
	return &ruleset.Service{Name: "llm", Scaling: &ruleset.Scaling{Min: 1, Max: 30, Boot: 4 * time.Second, Prices: map[fleet.FailureDomain]float64{"ballerup-a": 1}}}
}

// Where servers don't tell their pace, the planner's input holds what it held before.
func TestServiceStateWithoutPaceIsUnchanged(t *testing.T) {
	d := newPlanningDuties(t, 3)
	d.totalPace = func(time.Time, fleet.Service) (float64, bool) { return 3, false }
	d.arriving = func(time.Time) []scheduling.Work {
		return []scheduling.Work{{Service: "llm", Arriving: 900_000, Speed: 47_000}}
	}

	got := d.serviceState(planningService())
	if got.ReadRate != 0 || got.ReadArrivalRate != 0 || got.Pace != 0 || got.ArrivalRate != 900_000 || got.ServerRate != 47_000 {
		t.Errorf("input without told paces: got %+v, want arrivals and speed alone", got)
	}
}

// After a start of all, recorded read rates serve until rates are measured, also while leaders
// record work whose rate they don't know yet.
func TestRecordedReadRatesServeAfterStartOfAll(t *testing.T) {
	d := newPlanningDuties(t, 3)
	reports := false
	d.utilization = func(time.Time, fleet.Service) (float64, bool) { return 0, reports }
	d.totalPace = func(time.Time, fleet.Service) (float64, bool) { return 3, reports }

	d.recordWork(scheduling.WithReadLoads([]scheduling.Work{{Service: "llm", Arriving: 800_000, Speed: 47_000}},
		[]scheduling.ReadLoad{{Service: "llm", Reading: 900_000, Rate: 95_000}}))
	d.recordWork([]scheduling.Work{{Service: "llm", Arriving: 10, Speed: 0}})

	if got := d.serviceState(planningService()); got.ReadRate != 95_000 || got.ReadArrivalRate != 900_000 || got.MeanPace() != 1 {
		t.Errorf("before the first report: got %+v, want the recorded rate and arrivals", got)
	}

	reports = true
	d.arriving = func(time.Time) []scheduling.Work {
		return []scheduling.Work{{Service: "llm", Arriving: 500_000, Speed: 40_000, Reading: 600_000, ReadRate: 90_000}}
	}

	if got := d.serviceState(planningService()); got.ReadRate != 90_000 || got.ReadArrivalRate != 600_000 || got.Pace != 3 {
		t.Errorf("measured: got %+v, want the measured rate and arrivals", got)
	}

	d.arriving = func(time.Time) []scheduling.Work {
		return []scheduling.Work{{Service: "llm", Arriving: 500_000, Speed: 40_000}}
	}
	d.totalPace = func(time.Time, fleet.Service) (float64, bool) { return 3, false }

	if got := d.serviceState(planningService()); got.ReadRate != 0 {
		t.Errorf("servers report load without pace: got %+v, want planning by speed", got)
	}
}

// A leader's record carries what all instances read, and the holder of the duties reads it.
func TestRecordsCarryReadLoads(t *testing.T) {
	work := []scheduling.Work{{Service: "llm", Arriving: 5, Speed: 7, Reading: 9, ReadRate: 95_000}}
	data := encode(t, &board.Record{Instance: "entry-1", Work: work, ReadLoads: scheduling.ReadLoads(work)})

	var r board.Record
	if err := codec.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}

	if got := scheduling.WithReadLoads(r.Work, r.ReadLoads); len(got) != 1 || got[0] != work[0] {
		t.Errorf("work of a record: got %v, want %v", got, work)
	}
}

// An instance that plans by itself keeps the plan while the store is away: nothing is recorded, and
// what instances report directly is enough.
func TestPlanWithoutStore(t *testing.T) {
	d := newPlanningDuties(t, 12)
	d.arriving = func(time.Time) []scheduling.Work {
		return []scheduling.Work{{Service: "llm", Arriving: 500_000, Speed: 40_000, Reading: 600_000, ReadRate: 90_000}}
	}

	now := d.clock.Now()
	d.planner.Plan(now, d.serviceState(planningService()))

	if got, want := d.planner.Bound(now, "llm"), capacity.Reading; got != want {
		t.Errorf("bound without records: got %s, want %s", got, want)
	}
}
