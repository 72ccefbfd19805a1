package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// ejectionModel makes servers fail or respond slowly, and removes servers.
type ejectionModel struct {
	table  *Table
	random *rand.PCG
	now    time.Time
	size   int
}

// call sends requests; those to a random subset of the servers fail or are slow.
func (m *ejectionModel) call(t *rapid.T) {
	faulty := rapid.SliceOfNDistinct(rapid.IntRange(0, m.size-1), 0, m.size, rapid.ID).Draw(t, "faulty")
	kind := rapid.SampledFrom([]Failure{FailDial, FailReset, FailTimeout, FailCancelled}).Draw(t, "kind")
	slow := rapid.Bool().Draw(t, "slow")
	isFaulty := make(map[fleet.InstanceID]bool)

	for _, i := range faulty {
		isFaulty[testID(i)] = true
	}

	for range rapid.IntRange(1, 200).Draw(t, "calls") {
		choice, err := m.table.Pick(m.now, m.random, NewRequest(testKey).WithIdempotent())
		if err != nil || !choice.Begin(m.now) {
			continue
		}

		switch {
		case !isFaulty[choice.ID()]:
			choice.Done(m.now, time.Millisecond, 0)
		case slow:
			choice.Done(m.now, time.Second, 0)
		default:
			choice.Failed(m.now, kind)
		}
	}
}

func (m *ejectionModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	m.table.Tick(m.now, m.random)
}

func (m *ejectionModel) leave(t *rapid.T) {
	m.table.MarkLeaving(m.now, testID(rapid.IntRange(0, m.size-1).Draw(t, "server")), SourceNotice)
}

func (m *ejectionModel) check(t *rapid.T) {
	servers, ejected := 0, 0

	for _, s := range m.table.Statuses() {
		if s.Leaving() {
			continue
		}

		servers++

		if s.Ejected() {
			ejected++
		}
	}

	if limit := int(0.34 * float64(servers)); ejected > limit {
		t.Fatalf("ejected servers: got %d of %d, want at most %d", ejected, servers, limit)
	}
}

func TestHoldsEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		m := &ejectionModel{
			table:  newTestTable(size, 4),
			random: rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0),
			now:    testStart,
			size:   size,
		}

		t.Repeat(map[string]func(*rapid.T){
			"call":  m.call,
			"tick":  m.tick,
			"leave": m.leave,
			"":      m.check,
		})
	})
}
