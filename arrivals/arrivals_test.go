package arrivals

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

const (
	service fleet.Service = "llm"
	life                  = 2 * time.Second
)

var begin = time.Unix(1000, 0)

func arriving(work []scheduling.Work) float64 {
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

	if got, want := arriving(table.Total(begin, life, nil)), 35.0; got != want {
		t.Errorf("newest reports: got %v, want %v", got, want)
	}

	table.Record(begin, report("a", 2, 1, 1))
	table.Record(begin, report("a", 1, 9, 15))

	if got, want := arriving(table.Total(begin, life, report("", 0, 0, 4).Work)), 25.0; got != want {
		t.Errorf("after a start of one, with what arrives here: got %v, want %v", got, want)
	}

	if got, want := arriving(table.Total(begin.Add(life+1), life, nil)), 0.0; got != want {
		t.Errorf("after their life: got %v, want %v", got, want)
	}

	if got := len(table.of); got != 0 {
		t.Errorf("remembered after their life: got %d, want none", got)
	}
}

func TestTheSpeedIsTheMiddleOne(t *testing.T) {
	var table Table

	for i, speed := range []float64{100, 9000, 0, 110, 90} {
		w := report(fleet.InstanceID(fmt.Sprint(i)), 1, 1, 1)
		w.Work[0].Speed = speed
		table.Record(begin, w)
	}

	if got, want := table.Total(begin, life, nil)[0].Speed, 110.0; got != want {
		t.Errorf("speed: got %v, want %v", got, want)
	}
}

// model is a fleet whose instances tell those that plan what arrives at them, over messages
// that are lost, late, repeated and overtaken, while instances end, start again and change
// whom they tell.
type model struct {
	now    time.Time
	tables [2]Table
	// rate is what arrives at each instance at a time.
	rate        []float64
	incarnation []fleet.Incarnation
	flying      []flight
}

type flight struct {
	to     int
	report Report
}

// No instance counts for more than the most that it said of late, however often it is told
// and to whom; and where all messages come, each counts for what it said last.
func TestHoldsNoInstanceCountsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		m := &model{now: begin, rate: make([]float64, n), incarnation: make([]fleet.Incarnation, n)}
		highest := 0.0

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")

			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				m.rate[i] = float64(rapid.IntRange(0, 100).Draw(t, "rate"))
				highest = max(highest, m.rate[i])
			case 1:
				m.incarnation[i]++
				m.rate[i] = 0
			case 2, 3:
				m.flying = append(m.flying, flight{rapid.IntRange(0, 1).Draw(t, "to"), m.say(i)})
			case 4:
				m.land(t)
			}

			for planner := range m.tables {
				if got, most := arriving(m.tables[planner].Total(m.now, life, nil)), highest*float64(n); got > most {
					t.Fatalf("at planner %d: got %v, want at most %v of %d instances", planner, got, most, n)
				}
			}
		}

		want := 0.0

		for i, rate := range m.rate {
			m.now = m.now.Add(time.Millisecond)
			m.tables[0].Record(m.now, m.say(i))

			want += rate
		}

		for _, late := range m.flying {
			m.tables[0].Record(m.now, late.report)
		}

		if got := arriving(m.tables[0].Total(m.now, life, nil)); got != want {
			t.Fatalf("after all were heard, late messages behind them: got %v, want %v", got, want)
		}
	})
}

// say returns what an instance says now.
func (m *model) say(i int) Report {
	return report(fleet.InstanceID(fmt.Sprint("entry-", i)), m.incarnation[i], m.now.UnixNano(), m.rate[i])
}

// land lets one of the messages that are on their way arrive, maybe not for the last time.
func (m *model) land(t *rapid.T) {
	if len(m.flying) == 0 {
		return
	}

	k := rapid.IntRange(0, len(m.flying)-1).Draw(t, "flight")
	one := m.flying[k]
	m.tables[one.to].Record(m.now, one.report)

	if !rapid.Bool().Draw(t, "again") {
		m.flying = append(m.flying[:k], m.flying[k+1:]...)
	}
}
