package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// leavingModel simulates servers that leave while the updates about it arrive from four
// sources, each with its own lag.
type leavingModel struct {
	table  *Table
	random *rand.PCG
	now    time.Time
	size   int
	// firstReported holds the time at which the table first received an update that a
	// server is leaving.
	firstReported map[fleet.InstanceID]time.Time
}

func newLeavingModel(t *rapid.T) *leavingModel {
	m := &leavingModel{
		random:        rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0),
		now:           testStart,
		size:          rapid.IntRange(1, 9).Draw(t, "size"),
		firstReported: make(map[fleet.InstanceID]time.Time),
	}
	m.table = newTestTable(m.size, 4)

	return m
}

func (m *leavingModel) drawID(t *rapid.T) fleet.InstanceID {
	return testID(rapid.IntRange(0, m.size-1).Draw(t, "server"))
}

func (m *leavingModel) recordLeaving(id fleet.InstanceID) {
	if _, ok := m.firstReported[id]; !ok {
		m.firstReported[id] = m.now
	}
}

func (m *leavingModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
	m.table.Tick(m.now, m.random)
}

// list updates the table with a list in which each server is live, leaving or missing
// at random, like a list that lags.
func (m *leavingModel) list(t *rapid.T) {
	var listings []provider.Listing

	for i := range m.size {
		l := testListing(i)

		switch rapid.SampledFrom([]string{"live", "live", "leaving", "missing"}).Draw(t, "state") {
		case "missing":
			continue
		case "leaving":
			l.State = provider.Leaving
			m.recordLeaving(l.ID)
		}

		listings = append(listings, l)
	}

	m.table.UpdateList(m.now, listings)
}

func (m *leavingModel) report(t *rapid.T) {
	id := m.drawID(t)
	age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
	r := backend.LoadReport{At: m.now.Add(-age), Capacity: 4, Leaving: rapid.Bool().Draw(t, "leaving")}

	if r.Leaving {
		m.recordLeaving(id)
	}

	m.table.Report(m.now, id, r)
}

func (m *leavingModel) notice(t *rapid.T) {
	id := m.drawID(t)
	source := rapid.SampledFrom([]Source{SourceNotice, SourcePeer}).Draw(t, "source")

	m.recordLeaving(id)
	m.table.MarkLeaving(m.now, id, source)
}

func (m *leavingModel) pick(t *rapid.T) {
	choice, err := m.table.Pick(m.now, m.random, NewRequest(testKey).WithIdempotent().WithPrefix(7))
	if err != nil || !choice.Begin(m.now) {
		return
	}

	if reported, ok := m.firstReported[choice.ID()]; ok {
		t.Fatalf("server %s: got a request %v after the first update that it is leaving, want none", choice.ID(), m.now.Sub(reported))
	}

	if rapid.Bool().Draw(t, "fails") {
		choice.Failed(m.now, FailDial)
	} else {
		choice.Done(m.now, time.Millisecond, 0)
	}
}

func TestHoldsNoNewWorkToLeavingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeavingModel(t)

		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance,
			"list":    m.list,
			"report":  m.report,
			"notice":  m.notice,
			"pick":    m.pick,
		})
	})
}

// TestLeavingServerGetsNoRequestWhileListLags checks that a server gets no request
// after a reclaim notice, although the list shows it as live for 30 s more.
func TestLeavingServerGetsNoRequestWhileListLags(t *testing.T) {
	const (
		servers = 9
		lag     = 30 * time.Second
		step    = 10 * time.Millisecond
	)

	table := newTestTable(servers, 4)
	random := newTestRandom()
	leaving := testID(3)
	last := time.Duration(-1)

	table.MarkLeaving(testStart, leaving, SourceNotice)

	for at := time.Duration(0); at < 2*lag; at += step {
		now := testStart.Add(at)

		if at%time.Second == 0 {
			listings := testListings(servers)
			if at >= lag {
				listings[3].State = provider.Leaving
			}

			table.UpdateList(now, listings)
		}

		choice, err := table.Pick(now, random, NewRequest(testKey))
		if err != nil || !choice.Begin(now) {
			t.Fatalf("pick or begin at %v failed: error %v", at, err)
		}

		if choice.ID() == leaving {
			last = at
		}

		choice.Done(now, time.Millisecond, 0)
	}

	if last >= 0 {
		t.Errorf("last new request: got %v after the reclaim notice, want none", last)
	}
}
