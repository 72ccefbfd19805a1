package arrivals

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

const (
	service   fleet.Service = "llm"
	reportTTL               = 2 * time.Second
)

var begin = time.Unix(1000, 0)

func totalRate(work []scheduling.Work) float64 {
	sum := 0.0
	for _, w := range work {
		sum += w.Arriving
	}

	return sum
}

func report(id fleet.InstanceID, incarnation fleet.Incarnation, at int64, rate float64) Report {
	return Report{
		Instance: id, Incarnation: incarnation, SentAt: at,
		Work: []scheduling.Work{{Service: service, Arriving: rate, Speed: 100}},
	}
}

func TestEachInstanceCountsOnce(t *testing.T) {
	var table Table

	table.Record(begin, report("a", 1, 1, 10))
	table.Record(begin, report("b", 1, 1, 20))
	table.Record(begin, report("a", 1, 2, 15))
	table.Record(begin, report("a", 1, 1, 10))

	if got, want := totalRate(table.Total(begin, reportTTL, nil)), 35.0; got != want {
		t.Errorf("newest reports: got %v, want %v", got, want)
	}

	table.Record(begin, report("a", 2, 1, 1))
	table.Record(begin, report("a", 1, 9, 15))

	if got, want := totalRate(table.Total(begin, reportTTL, report("", 0, 0, 4).Work)), 25.0; got != want {
		t.Errorf("after a restart, with the own work: got %v, want %v", got, want)
	}

	if got, want := totalRate(table.Total(begin.Add(reportTTL+1), reportTTL, nil)), 0.0; got != want {
		t.Errorf("after expiry: got %v, want %v", got, want)
	}

	if got := len(table.sources); got != 0 {
		t.Errorf("sources after expiry: got %d, want none", got)
	}
}

func TestTotalUsesMedianSpeed(t *testing.T) {
	var table Table

	for i, speed := range []float64{100, 9000, 0, 110, 90} {
		w := report(fleet.InstanceID(fmt.Sprint(i)), 1, 1, 1)
		w.Work[0].Speed = speed
		table.Record(begin, w)
	}

	if got, want := table.Total(begin, reportTTL, nil)[0].Speed, 110.0; got != want {
		t.Errorf("speed: got %v, want %v", got, want)
	}
}

// simulation is a fleet whose instances report their arriving work to planners. Messages are
// lost, delayed, repeated and reordered; instances restart and report to changing planners.
type simulation struct {
	now    time.Time
	tables [2]Table
	// rate is the current arrival rate at each instance.
	rate        []float64
	incarnation []fleet.Incarnation
	inFlight    []message
}

type message struct {
	to     int
	report Report
}

// Guards against counting an instance more than once: the total never exceeds the highest rate
// times the number of instances, however often and to whichever planner they report. Once a
// planner has received a current report of each instance, the total is exact, even if delayed
// reports follow.
func TestHoldsNoInstanceCountsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		m := &simulation{now: begin, rate: make([]float64, n), incarnation: make([]fleet.Incarnation, n)}
		highest := 0.0

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")

			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				m.rate[i] = float64(rapid.IntRange(0, 100).Draw(t, "rate"))
				highest = max(highest, m.rate[i])
			case 1:
				m.incarnation[i]++
				m.rate[i] = 0
			case 2, 3:
				m.inFlight = append(m.inFlight, message{rapid.IntRange(0, 1).Draw(t, "to"), m.currentReport(i)})
			case 4:
				m.deliver(t)
			}

			for planner := range m.tables {
				if got, most := totalRate(m.tables[planner].Total(m.now, reportTTL, nil)), highest*float64(n); got > most {
					t.Fatalf("planner %d: got %v, want at most %v of %d instances", planner, got, most, n)
				}
			}
		}

		want := 0.0

		for i, rate := range m.rate {
			m.now = m.now.Add(time.Millisecond)
			m.tables[0].Record(m.now, m.currentReport(i))

			want += rate
		}

		for _, late := range m.inFlight {
			m.tables[0].Record(m.now, late.report)
		}

		if got := totalRate(m.tables[0].Total(m.now, reportTTL, nil)); got != want {
			t.Fatalf("after a report of each instance and late messages: got %v, want %v", got, want)
		}
	})
}

// currentReport returns the current report of an instance.
func (m *simulation) currentReport(i int) Report {
	return report(fleet.InstanceID(fmt.Sprint("entry-", i)), m.incarnation[i], m.now.UnixNano(), m.rate[i])
}

// deliver delivers a random message in flight, which may be delivered again later.
func (m *simulation) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}

	k := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
	msg := m.inFlight[k]
	m.tables[msg.to].Record(m.now, msg.report)

	if !rapid.Bool().Draw(t, "again") {
		m.inFlight = append(m.inFlight[:k], m.inFlight[k+1:]...)
	}
}

// Read rates are medians over the instances that know one. What has to be read is summed; an
// instance of an earlier version, which doesn't tell it, counts with what arrives.
func TestTotalOfReadLoads(t *testing.T) {
	var table Table

	for i, rate := range []float64{95_000, 1e12, 0, 90_000, 100_000} {
		w := report(fleet.InstanceID(fmt.Sprint(i)), 1, 1, 10)
		w.Work[0].ReadRate, w.Work[0].Reading = rate, 30
		table.Record(begin, w)
	}

	table.Record(begin, report("earlier", 1, 1, 10))

	got := table.Total(begin, reportTTL, nil)[0]
	if want := 100_000.0; got.ReadRate != want {
		t.Errorf("read rate: got %v, want the median %v", got.ReadRate, want)
	}

	if want := 160.0; got.Reading != want || got.Arriving != 60 {
		t.Errorf("tokens to read: got %v of %v arriving, want %v of 60", got.Reading, got.Arriving, want)
	}
}

// Where no instance knows a read rate, totals have no read load.
func TestTotalWithoutReadRate(t *testing.T) {
	var table Table

	table.Record(begin, report("a", 1, 1, 10))

	if got := table.Total(begin, reportTTL, nil)[0]; got.ReadRate != 0 || got.Reading != 0 {
		t.Errorf("read load: got %v and %v, want none", got.ReadRate, got.Reading)
	}
}

// Half of the reports are lost: while each instance reports four times within the time to live, the
// total stays above four fifths of what arrives.
func TestTotalWithHalfOfReportsLost(t *testing.T) {
	const instances = 72

	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed

	var table Table

	for step := range 200 {
		now := begin.Add(time.Duration(step) * reportTTL / 4)

		for i := range instances {
			if random.IntN(2) == 0 {
				continue
			}

			w := report(fleet.InstanceID(fmt.Sprint(i)), 1, int64(step), 10)
			w.Work[0].ReadRate, w.Work[0].Reading = 95_000, 30
			table.Record(now, w)
		}

		if step < 8 {
			continue
		}

		got := table.Total(now, reportTTL, nil)[0]
		if least := 0.8 * 30 * instances; got.Reading < least || got.ReadRate != 95_000 {
			t.Fatalf("step %d: got %v tokens to read at a rate of %v, want at least %v at 95000", step, got.Reading, got.ReadRate, least)
		}
	}
}
