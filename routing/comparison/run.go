package comparison

import (
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
)

// simulation is one run of a scenario with one policy.
type simulation struct {
	scenario Scenario
	schedule schedule
	random   *rand.Rand
	servers  []*server
	choosers []Chooser
	computed map[uint64]bool
	result   Result
}

// Run simulates a scenario with a policy and returns the result.
func Run(s Scenario, p Policy) *Result {
	sim := &simulation{
		scenario: s,
		random:   rand.New(rand.NewPCG(s.Seed, 2)),
		computed: make(map[uint64]bool),
		result:   Result{policy: p.Name},
	}

	for i := range s.Servers {
		slowFactor := 1.0
		if i < s.SlowServers {
			slowFactor = s.SlowFactor
		}

		sim.servers = append(sim.servers, &server{slowFactor: slowFactor})
	}

	for i := range s.Entries {
		sim.choosers = append(sim.choosers, p.New(s, rand.NewPCG(s.Seed, uint64(100+i))))
	}

	sim.scheduleEvents()
	sim.schedule.runAll()
	sim.result.sort()

	return &sim.result
}

// scheduleEvents schedules the events that don't depend on choices: arrivals, load
// reports, ticks and measurements of the imbalance.
func (sim *simulation) scheduleEvents() {
	for _, r := range sim.scenario.requests() {
		sim.schedule.after(r.arrival, func() { sim.arrive(r) })
	}

	for i := range sim.servers {
		offset := time.Duration(sim.random.Int64N(int64(reportInterval)))
		sim.schedule.after(offset, func() {
			sim.schedule.every(reportInterval, sim.scenario.Duration, func() { sim.publishLoad(i) })
		})
	}

	for _, c := range sim.choosers {
		sim.schedule.every(tickInterval, sim.scenario.Duration, func() { c.Tick(sim.schedule.now) })
	}

	sim.schedule.every(time.Second, sim.scenario.Duration, sim.recordImbalance)
}

func (sim *simulation) arrive(r *request) {
	server, done := sim.choosers[r.entry].Choose(sim.schedule.now, r.prefix)
	r.server = server
	r.done = done

	s := sim.servers[server]
	if s.running == slotsPerServer {
		s.waiting = append(s.waiting, r)

		return
	}

	sim.begin(r)
}

func (sim *simulation) begin(r *request) {
	s := sim.servers[r.server]
	s.running++

	hit, events := s.lookUpPrefix(r.prefix)
	sim.publishEvents(r.server, events)

	tokens := suffixTokens
	if !hit {
		tokens += prefixTokens
	}

	prefill := s.scaleDuration(time.Duration(tokens) * prefillTimePerToken)
	decode := s.scaleDuration(time.Duration(r.decodeTokens) * decodeTimePerToken)
	sim.measure(r, hit, prefill)
	sim.schedule.after(prefill+decode, func() { sim.finish(r) })
}

func (sim *simulation) finish(r *request) {
	r.done(sim.schedule.now, sim.schedule.now-r.arrival, r.decodeTokens)

	s := sim.servers[r.server]
	s.running--

	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		sim.begin(next)
	}
}

func (sim *simulation) measure(r *request, hit bool, prefill time.Duration) {
	wasComputed := sim.computed[r.prefix]
	sim.computed[r.prefix] = true

	if r.arrival < sim.scenario.WarmUp {
		return
	}

	wait := sim.schedule.now - r.arrival
	sim.result.waits = append(sim.result.waits, wait)
	sim.result.ttfts = append(sim.result.ttfts, wait+prefill)

	switch {
	case hit:
		sim.result.cacheHits++
	case wasComputed:
		sim.result.recomputedTokens += prefixTokens
	}
}

// publishLoad sends a load report to each entry instance, each with its own lag.
func (sim *simulation) publishLoad(i int) {
	s := sim.servers[i]
	report := backend.LoadReport{
		At:       start.Add(sim.schedule.now),
		Running:  s.running,
		Waiting:  len(s.waiting),
		Capacity: slotsPerServer,
	}

	for _, c := range sim.choosers {
		sim.schedule.after(sim.lag(), func() { c.Report(sim.schedule.now, i, report) })
	}
}

// publishEvents sends cache events to each entry instance; a fraction of them is lost.
func (sim *simulation) publishEvents(i int, events []backend.CacheEvent) {
	for _, e := range events {
		for _, c := range sim.choosers {
			lag := sim.lag()
			if sim.random.Float64() < eventLossRate {
				continue
			}

			sim.schedule.after(lag, func() {
				c.CacheEvents(sim.schedule.now, i, []backend.CacheEvent{e})
			})
		}
	}
}

func (sim *simulation) lag() time.Duration {
	return minLag + time.Duration(sim.random.Int64N(int64(maxLag-minLag)))
}

func (sim *simulation) recordImbalance() {
	if sim.schedule.now < sim.scenario.WarmUp {
		return
	}

	maxLoad, totalLoad := 0, 0
	for _, s := range sim.servers {
		maxLoad = max(maxLoad, s.load())
		totalLoad += s.load()
	}

	if totalLoad > 0 {
		mean := float64(totalLoad) / float64(len(sim.servers))
		sim.result.imbalances = append(sim.result.imbalances, float64(maxLoad)/mean)
	}
}
