package comparison

import (
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
)

// Baselines returns simple policies to compare with.
func Baselines() []Policy {
	return []Policy{
		baseline("round robin", (*baselineChooser).roundRobin),
		baseline("random", (*baselineChooser).randomServer),
		baseline("least reported load", (*baselineChooser).leastReportedLoad),
		baseline("two choices", (*baselineChooser).twoChoices),
	}
}

// baselineChooser uses nothing but the last load report of each server.
type baselineChooser struct {
	random     *rand.Rand
	loads      []int
	lastServer int
	choose     func(*baselineChooser) int
}

func baseline(name string, choose func(*baselineChooser) int) Policy {
	return Policy{Name: name, New: func(s Scenario, random *rand.PCG) Chooser {
		r := rand.New(random)

		return &baselineChooser{random: r, loads: make([]int, s.Servers), lastServer: r.IntN(s.Servers), choose: choose}
	}}
}

func (b *baselineChooser) roundRobin() int {
	b.lastServer = (b.lastServer + 1) % len(b.loads)

	return b.lastServer
}

func (b *baselineChooser) randomServer() int {
	return b.random.IntN(len(b.loads))
}

// leastReportedLoad scans from a random server on, so that ties are spread over all
// servers with the same load.
func (b *baselineChooser) leastReportedLoad() int {
	start := b.randomServer()
	best := start

	for i := range b.loads {
		if server := (start + i) % len(b.loads); b.loads[server] < b.loads[best] {
			best = server
		}
	}

	return best
}

func (b *baselineChooser) twoChoices() int {
	first, second := b.randomServer(), b.randomServer()
	if b.loads[second] < b.loads[first] {
		return second
	}

	return first
}

// Choose implements Chooser.
func (b *baselineChooser) Choose(time.Duration, uint64) (int, DoneFunc) {
	return b.choose(b), func(time.Duration, time.Duration, int) {}
}

// Report implements Chooser.
func (b *baselineChooser) Report(_ time.Duration, server int, r backend.LoadReport) {
	b.loads[server] = r.Running + r.Waiting
}

// CacheEvents implements Chooser.
func (b *baselineChooser) CacheEvents(time.Duration, int, []backend.CacheEvent) {}

// Tick implements Chooser.
func (b *baselineChooser) Tick(time.Duration) {}
