package logstream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// modelWriter is a writer's outbox with its own filter and place in the log.
type modelWriter struct {
	outbox  outbox
	filter  Filter
	read    int
	tickets map[string]*Ticket
	appends []time.Time
}

// journalModel is several writers over one log whose answers get lost and
// whose appends arrive late.
type journalModel struct {
	now     time.Time
	writers []*modelWriter
	records []provider.Record
	late    []lateRecord
	added   int
}

type lateRecord struct {
	data []byte
}

const modelRate = 5

func newJournalModel(writers int) *journalModel {
	m := &journalModel{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}

	for i := range writers {
		m.writers = append(m.writers, &modelWriter{
			outbox: outbox{
				writer:        fleet.InstanceID(fmt.Sprintf("entry-%d", i)),
				incarnation:   1,
				maxBatchBytes: 60,
				maxQueueBytes: 1 << 20,
				ledger:        Ledger{Rate: modelRate, Burst: 2},
				backoff:       Backoff{Rand: rand.New(rand.NewPCG(1, uint64(i)))},
			},
			filter:  Filter{MaxDelay: DefaultMaxDelay},
			tickets: make(map[string]*Ticket),
		})
	}

	return m
}

func (m *journalModel) land(data []byte) {
	m.records = append(m.records, provider.Record{
		Offset: provider.Offset(len(m.records) + 1),
		Time:   m.now,
		Data:   data,
	})
}

func (m *journalModel) add(w *modelWriter) {
	m.added++
	payload := fmt.Sprintf("p%d", m.added)
	w.tickets[payload] = w.outbox.add(KindFirst, []byte(payload))
}

func (m *journalModel) send(w *modelWriter, fault appendFault) {
	p, _, err := w.outbox.take(m.now)
	if err != nil || p.data == nil {
		return
	}

	w.appends = append(w.appends, m.now)

	switch fault {
	case faultRefused:
		w.outbox.answered(m.now, p.first, provider.ErrRefused)
	case faultLostAnswer:
		m.land(p.data)
		w.outbox.answered(m.now, p.first, errLost)
	case faultNeverArrives:
		w.outbox.answered(m.now, p.first, errLost)
	case faultArrivesLate:
		m.late = append(m.late, lateRecord{data: p.data})
		w.outbox.answered(m.now, p.first, errLost)
	default:
		m.land(p.data)
		w.outbox.answered(m.now, p.first, nil)
	}
}

func (m *journalModel) catchUp(w *modelWriter) {
	for ; w.read < len(m.records); w.read++ {
		r := m.records[w.read]

		b, drop := w.filter.Accept(r)
		if drop == Undecodable || b.Writer != w.outbox.writer {
			continue
		}

		if drop == Kept {
			w.outbox.accepted(b.First, r.Offset)
		} else {
			w.outbox.doubt(b.First)
		}
	}
}

// effects returns what a reader accepts that starts at a record.
func (m *journalModel) effects(start int) []Entry {
	filter := Filter{MaxDelay: DefaultMaxDelay}

	var entries []Entry

	for _, r := range m.records[start:] {
		if b, drop := filter.Accept(r); drop == Kept {
			entries = append(entries, split(b, r)...)
		}
	}

	return entries
}

// settleAll brings every open result to its end with a log without faults.
func (m *journalModel) settleAll() {
	for range 200 {
		m.now = m.now.Add(time.Second)

		for _, w := range m.writers {
			m.send(w, faultNone)
			m.catchUp(w)
		}
	}
}

func (m *journalModel) checkResults(t *rapid.T) {
	counts := make(map[string]int)
	for _, e := range m.effects(0) {
		counts[string(e.Payload())]++
	}

	for _, w := range m.writers {
		for payload, ticket := range w.tickets {
			select {
			case <-ticket.Done():
			default:
				t.Fatalf("%s of %s: has no result with the log up", payload, w.outbox.writer)
			}

			want := 0
			if _, err := ticket.Result(); err == nil {
				want = 1
			} else if !errors.Is(err, ErrDead) && !errors.Is(err, ErrRefused) {
				t.Fatalf("%s: got result %v, want one that is final", payload, err)
			}

			if got := counts[payload]; got != want {
				t.Fatalf("%s in effect: got %d times, want %d", payload, got, want)
			}
		}
	}
}

// checkShare checks that no span holds more appends than the ledger grants.
func (m *journalModel) checkShare(t *rapid.T) {
	for _, w := range m.writers {
		for i := range w.appends {
			for j := i; j < len(w.appends); j++ {
				span := w.appends[j].Sub(w.appends[i]).Seconds()
				if got, want := float64(j-i+1), 2+span*modelRate+1e-6; got > want {
					t.Fatalf("appends in %.3f s: got %v, want at most %v", span, got, want)
				}
			}
		}
	}
}

// checkSuffix checks that a reader of a suffix agrees with one of the whole
// from its horizon on.
func (m *journalModel) checkSuffix(t *rapid.T, start int) {
	if start >= len(m.records) {
		return
	}

	first := provider.Batch{Records: m.records[start:], First: provider.Offset(start + 1)}
	horizon := Horizon(first, m.now, 0, DefaultMaxDelay)

	var want, got []string

	for _, e := range m.effects(0) {
		if e.Time().After(horizon) {
			want = append(want, string(e.Payload()))
		}
	}

	for _, e := range m.effects(start) {
		if e.Time().After(horizon) {
			got = append(got, string(e.Payload()))
		}
	}

	if start == 0 {
		return
	}

	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("entries after the horizon of offset %d: got %v, want %v", start+1, got, want)
	}
}

func TestHoldsJournalResultsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newJournalModel(rapid.IntRange(1, 3).Draw(t, "writers"))
		writer := rapid.IntRange(0, len(m.writers)-1)
		fault := rapid.SampledFrom([]appendFault{
			faultNone, faultNone, faultRefused, faultLostAnswer, faultNeverArrives, faultArrivesLate,
		})

		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				m.add(m.writers[writer.Draw(t, "writer")])
			},
			"send": func(t *rapid.T) {
				m.send(m.writers[writer.Draw(t, "writer")], fault.Draw(t, "fault"))
			},
			"read": func(t *rapid.T) {
				m.catchUp(m.writers[writer.Draw(t, "writer")])
			},
			"arrive": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("nothing is late")
				}

				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
				m.land(m.late[i].data)

				if rapid.Bool().Draw(t, "only once") {
					m.late = append(m.late[:i], m.late[i+1:]...)
				}
			},
			"wait": func(t *rapid.T) {
				millis := rapid.SampledFrom([]int{1, 100, 1000, 20_000, 61_000}).Draw(t, "milliseconds")
				m.now = m.now.Add(time.Duration(millis) * time.Millisecond)
			},
			"junk": func(t *rapid.T) {
				m.land(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "junk"))
			},
		})

		m.settleAll()

		for _, l := range m.late {
			m.land(l.data)
		}

		m.checkResults(t)
		m.checkShare(t)
		m.checkSuffix(t, rapid.IntRange(0, len(m.records)).Draw(t, "start"))
	})
}
