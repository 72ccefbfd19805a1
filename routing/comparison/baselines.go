package comparison

import (
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
)

// Baselines returns the plain policies.
func Baselines() []Policy {
	return []Policy{
		baseline("round robin", (*blind).roundRobin),
		baseline("random", (*blind).anyServer),
		baseline("least reported load", (*blind).leastReported),
		baseline("two choices", (*blind).twoChoices),
	}
}

// blind knows nothing but the last load reports.
type blind struct {
	random *rand.Rand
	loads  []int
	next   int
	choose func(*blind) int
}

func baseline(name string, choose func(*blind) int) Policy {
	return Policy{Name: name, New: func(s Scenario, random *rand.PCG) Chooser {
		r := rand.New(random)

		return &blind{random: r, loads: make([]int, s.Servers), next: r.IntN(s.Servers), choose: choose}
	}}
}

func (b *blind) roundRobin() int {
	b.next = (b.next + 1) % len(b.loads)

	return b.next
}

func (b *blind) anyServer() int {
	return b.random.IntN(len(b.loads))
}

// leastReported starts at a random place, so that equal servers share the load.
func (b *blind) leastReported() int {
	start := b.anyServer()
	best := start

	for i := range b.loads {
		if at := (start + i) % len(b.loads); b.loads[at] < b.loads[best] {
			best = at
		}
	}

	return best
}

func (b *blind) twoChoices() int {
	first, second := b.anyServer(), b.anyServer()
	if b.loads[second] < b.loads[first] {
		return second
	}

	return first
}

// Choose implements Chooser.
func (b *blind) Choose(time.Duration, uint64) (int, Answered) {
	return b.choose(b), func(time.Duration, time.Duration, int) {}
}

// Report implements Chooser.
func (b *blind) Report(_ time.Duration, server int, r backend.LoadReport) {
	b.loads[server] = r.Running + r.Waiting
}

// CacheEvents implements Chooser.
func (b *blind) CacheEvents(time.Duration, int, []backend.CacheEvent) {}

// Tick implements Chooser.
func (b *blind) Tick(time.Duration) {}
