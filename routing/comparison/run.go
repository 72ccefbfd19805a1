package comparison

import (
	"math/rand/v2"
	"time"

	"monsoonlever/backend"
)

// model is one run of a scenario.
type model struct {
	scenario Scenario
	schedule schedule
	random   *rand.Rand
	servers  []*server
	choosers []Chooser
	seen     map[uint64]bool
	result   Result
}

// Run returns what a policy makes of a scenario.
func Run(s Scenario, p Policy) *Result {
	m := &model{
		scenario: s,
		random:   rand.New(rand.NewPCG(s.Seed, 2)),
		seen:     make(map[uint64]bool),
		result:   Result{policy: p.Name},
	}

	for i := range s.Servers {
		slow := 1.0
		if i < s.Grey {
			slow = s.SlowFactor
		}

		m.servers = append(m.servers, &server{slow: slow})
	}

	for i := range s.Entries {
		m.choosers = append(m.choosers, p.New(s, rand.NewPCG(s.Seed, uint64(100+i))))
	}

	m.plan()
	m.schedule.runAll()
	m.result.sort()

	return &m.result
}

// plan schedules everything that doesn't follow from a choice.
func (m *model) plan() {
	for _, j := range m.scenario.jobs() {
		m.schedule.after(j.arrival, func() { m.arrive(j) })
	}

	for i := range m.servers {
		offset := time.Duration(m.random.Int64N(int64(reportEvery)))
		m.schedule.after(offset, func() {
			m.schedule.every(reportEvery, m.scenario.Duration, func() { m.publishLoad(i) })
		})
	}

	for _, c := range m.choosers {
		m.schedule.every(tickEvery, m.scenario.Duration, func() { c.Tick(m.schedule.now) })
	}

	m.schedule.every(time.Second, m.scenario.Duration, m.sampleImbalance)
}

func (m *model) arrive(j *job) {
	server, answered := m.choosers[j.entry].Choose(m.schedule.now, j.prefix)
	j.server = server
	j.answered = answered

	s := m.servers[server]
	if s.running == slotsPerServer {
		s.waiting = append(s.waiting, j)

		return
	}

	m.begin(j)
}

func (m *model) begin(j *job) {
	s := m.servers[j.server]
	s.running++

	hit, events := s.use(j.prefix)
	m.publishEvents(j.server, events)

	tokens := ownTokens
	if !hit {
		tokens += prefixTokens
	}

	prefill := s.stretch(time.Duration(tokens) * prefillTime)
	decode := s.stretch(time.Duration(j.decode) * decodeTime)
	m.measure(j, hit, prefill)
	m.schedule.after(prefill+decode, func() { m.finish(j) })
}

func (m *model) finish(j *job) {
	j.answered(m.schedule.now, m.schedule.now-j.arrival, j.decode)

	s := m.servers[j.server]
	s.running--

	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		m.begin(next)
	}
}

func (m *model) measure(j *job, hit bool, prefill time.Duration) {
	known := m.seen[j.prefix]
	m.seen[j.prefix] = true

	if j.arrival < m.scenario.WarmUp {
		return
	}

	wait := m.schedule.now - j.arrival
	m.result.waits = append(m.result.waits, wait)
	m.result.firsts = append(m.result.firsts, wait+prefill)

	switch {
	case hit:
		m.result.hits++
	case known:
		m.result.recomputed += prefixTokens
	}
}

// publishLoad sends a report to each entry instance, with a lag of its own.
func (m *model) publishLoad(i int) {
	s := m.servers[i]
	report := backend.LoadReport{
		At:       start.Add(m.schedule.now),
		Running:  s.running,
		Waiting:  len(s.waiting),
		Capacity: slotsPerServer,
	}

	for _, c := range m.choosers {
		m.schedule.after(m.lag(), func() { c.Report(m.schedule.now, i, report) })
	}
}

// publishEvents sends cache events, of which some are lost.
func (m *model) publishEvents(i int, events []backend.CacheEvent) {
	for _, e := range events {
		for _, c := range m.choosers {
			lag := m.lag()
			if m.random.Float64() < eventLossRate {
				continue
			}

			m.schedule.after(lag, func() {
				c.CacheEvents(m.schedule.now, i, []backend.CacheEvent{e})
			})
		}
	}
}

func (m *model) lag() time.Duration {
	return reportLagMin + time.Duration(m.random.Int64N(int64(reportLagMax-reportLagMin)))
}

func (m *model) sampleImbalance() {
	if m.schedule.now < m.scenario.WarmUp {
		return
	}

	most, sum := 0, 0
	for _, s := range m.servers {
		most = max(most, s.load())
		sum += s.load()
	}

	if sum > 0 {
		mean := float64(sum) / float64(len(m.servers))
		m.result.imbalances = append(m.result.imbalances, float64(most)/mean)
	}
}
