package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// Parameters of the model: its step, the time until a request's answer is about to begin, how long
// it then takes until its first event, and the time until a crashed server is back.
const (
	partStep    = 10 * time.Millisecond
	partPrefill = 200 * time.Millisecond
	partBegin   = 60 * time.Millisecond
	partReturn  = 2 * time.Second
	// partDelay bounds the time that a message takes.
	partDelay = 500 * time.Millisecond
	// sendsOfInstance is how often an instance sends a request.
	sendsOfInstance = 2
	// contactTime is the time within which all instances have to know, and allowedCrashes and
	// allowedSends bound the crashes before and the sends after it.
	contactTime    = 3 * time.Second
	allowedCrashes = 5
	allowedSends   = 3
	// minSoundShare is the part of the sound requests that must not be held off.
	minSoundShare = 0.5
	// Every recordInterval, an instance that leads writes its reports to the store, from which
	// instances that start read what was written within recordRetention.
	recordInterval  = 2 * time.Second
	relaxedInterval = 8 * time.Second
	recordRetention = 20 * time.Second
	leadingCount    = 3
	// minRecordInterval is the least time between two records of an instance.
	minRecordInterval = 250 * time.Millisecond
)

// partModel is a service with instances that each have a Parts, and exchange reports which are late,
// lost, and in any order.
type partModel struct {
	random    *rand.Rand
	now       time.Time
	instances []*Parts
	servers   []*modelServer
	requests  []*modelRequest
	messages  []modelMessage
	records   []modelRecord
	next      int
	// crashProbability is that of a crash at the begin of an answer on a harmful part.
	crashProbability float64
	crashedAt        map[string][]time.Time
	// recordedAt is when each instance recorded last, and toRecord has those that have more to record.
	recordedAt map[*Parts]time.Time
	toRecord   map[*Parts]bool
	// prefill is the time until a request's answer is about to begin, and begin how long it then takes
	// until its first event.
	prefill, begin time.Duration
	// delay bounds the time that a message takes.
	delay time.Duration
	// unanswered has servers crash before they send a header, so that all their requests are suspects.
	unanswered bool
	// sends is how often a request that is lost with its server is sent in all: at once by its instance
	// and by its caller, who reaches any instance. Zero is once.
	sends int
	// sentLate counts the sends of each harmful part after it had to be known.
	sentLate map[string]int
	// sound and refused count the sound requests once parts had to be known.
	sound, refused int
}

type modelServer struct {
	generation int
	downUntil  time.Time
}

type modelRequest struct {
	id       string
	instance *Parts
	server   int
	sent     time.Time
	keys     []PartKey
	harmful  string
	// sends counts how often it was sent.
	sends int
}

// modelRecord is what an instance has written to the store.
type modelRecord struct {
	at      time.Time
	reports []PartReport
}

type modelMessage struct {
	at      time.Time
	to      *Parts
	reports []PartReport
}

func newPartModel(instances, servers int, crashProbability float64, seed uint64) *partModel {
	m := &partModel{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), crashProbability: crashProbability,
		crashedAt: make(map[string][]time.Time), sentLate: make(map[string]int),
		recordedAt: make(map[*Parts]time.Time), toRecord: make(map[*Parts]bool), prefill: partPrefill, begin: partBegin, delay: partDelay,
	}

	for i := range instances {
		m.instances = append(m.instances, m.newInstance(i))
	}

	for range servers {
		m.servers = append(m.servers, &modelServer{})
	}

	return m
}

// newInstance returns an instance, the first of which lead: these record new evidence at once.
func (m *partModel) newInstance(i int) *Parts {
	p := &Parts{}
	if i < leadingCount {
		p.OnHeld = func([]PartKey) { m.toRecord[p] = true }
		p.OnEvidence = func() { m.toRecord[p] = true }
	}

	return p
}

// send sends a request with parts to a random server, unless it is held off.
func (m *partModel) send(harmful string, parts ...string) {
	m.next++
	r := &modelRequest{
		id: fmt.Sprint("r", m.next), instance: m.instances[m.random.IntN(len(m.instances))],
		harmful: harmful, keys: PartKeys("llm", append(parts, fmt.Sprint("own", m.next))),
	}
	_, held := r.instance.Held(r.keys)

	if harmful == "" && m.settled() {
		m.sound++

		if held {
			m.refused++
		}
	}

	m.place(r)
}

// place sends a request to a random server that is up, unless it is held off.
func (m *partModel) place(r *modelRequest) {
	r.server, r.sent = m.random.IntN(len(m.servers)), m.now

	if _, held := r.instance.Held(r.keys); held || m.servers[r.server].downUntil.After(m.now) {
		return
	}

	if crashes := m.crashedAt[r.harmful]; r.harmful != "" && len(crashes) >= allowedCrashes && m.now.Sub(crashes[allowedCrashes-1]) > contactTime {
		m.sentLate[r.harmful]++
	}

	r.sends++
	m.requests = append(m.requests, r)
}

// sendAgain sends requests that were lost with their server again, by their instance or by their caller,
// who reaches any instance.
func (m *partModel) sendAgain(lost []*modelRequest) {
	for _, r := range lost {
		if r.sends >= m.sends {
			continue
		}

		again := *r
		if r.sends%sendsOfInstance == 0 {
			again.instance = m.instances[m.random.IntN(len(m.instances))]
		}

		m.place(&again)
	}
}

// settled reports whether all parts that crashed servers have to be known.
func (m *partModel) settled() bool {
	for _, crashes := range m.crashedAt {
		if m.now.Sub(crashes[min(len(crashes), allowedCrashes)-1]) < 2*contactTime {
			return false
		}
	}

	return true
}

// step advances the time: answers begin, servers crash, messages arrive.
func (m *partModel) step() {
	m.now = m.now.Add(partStep)

	for _, r := range m.requests {
		if r.harmful != "" && m.now.Sub(r.sent) >= m.prefill+m.begin/2 && !m.servers[r.server].downUntil.After(m.now) &&
			m.random.Float64() < m.crashProbability {
			m.crashedAt[r.harmful] = append(m.crashedAt[r.harmful], m.now)
			m.crash(r.server)
		}
	}

	var lost []*modelRequest

	left := m.requests[:0]

	for _, r := range m.requests {
		switch begun := m.now.Sub(r.sent) >= m.prefill+m.begin/2 && r.harmful != "" || m.now.Sub(r.sent) >= m.prefill+m.begin; {
		case m.servers[r.server].downUntil.After(m.now):
			lost = append(lost, r)
		case begun:
			r.instance.RecordBegin(m.now, r.id, r.keys)
		default:
			left = append(left, r)
		}
	}

	m.requests = left
	m.sendAgain(lost)
	m.exchange()
	m.record()
}

// crash crashes a server with its requests. Those about to begin are suspects.
func (m *partModel) crash(server int) {
	s := m.servers[server]
	process := register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", server, "-", s.generation))}
	s.generation++
	s.downUntil = m.now.Add(partReturn)

	for _, r := range m.requests {
		if r.server == server && (m.unanswered || m.now.Sub(r.sent) >= m.prefill) {
			r.instance.RecordCrash(m.now, process, r.keys)
		}
	}
}

// record writes the records that are due: those of instances that lead more often, and at once where
// there is more to record.
func (m *partModel) record() {
	for i, p := range m.instances {
		interval := relaxedInterval

		switch {
		case m.toRecord[p]:
			interval = minRecordInterval
		case i < leadingCount:
			interval = recordInterval
		}

		if m.now.Sub(m.recordedAt[p]) >= interval {
			m.recordedAt[p], m.toRecord[p] = m.now, false
			m.records = append(m.records, modelRecord{at: m.now, reports: p.StoredReports(m.now)})
		}
	}
}

// restartAll replaces all instances by ones that know what was recorded up to lost ago.
func (m *partModel) restartAll(lost time.Duration) {
	m.requests, m.messages = nil, nil

	for i := range m.instances {
		p := m.newInstance(i)

		for _, r := range m.records {
			if age := m.now.Sub(r.at); age >= lost && age <= recordRetention {
				p.MergeRecorded(m.now, r.at, r.reports)
			}
		}

		m.instances[i] = p
		m.recordedAt[p] = m.now
	}
}

// exchange sends and delivers reports: late, one in 50 lost.
func (m *partModel) exchange() {
	for _, from := range m.instances {
		if from.outbox.empty() {
			continue
		}

		reports := from.PendingReports(m.now)

		for _, to := range m.instances {
			if to != from && m.random.Float64() >= 0.02 {
				m.messages = append(m.messages, modelMessage{at: m.now.Add(time.Duration(m.random.Int64N(int64(m.delay)))), to: to, reports: reports})
			}
		}
	}

	left := m.messages[:0]

	for _, message := range m.messages {
		if message.at.After(m.now) {
			left = append(left, message)
		} else {
			message.to.Merge(m.now, message.reports, false)
		}
	}

	m.messages = left
}

// partScenario is what callers send in a second.
type partScenario struct {
	instances int
	// sound and harmful are the rates of requests a second, and subjects the parts that both have
	// beside the one that all have in common.
	sound, harmful float64
	subjects       int
	parts          []string
	// companion is a part of all harmful requests that one in 40 sound ones has.
	companion        bool
	crashProbability float64
	// otherCrashes crashes a server each two seconds, and a quarter of all at once twice.
	otherCrashes bool
	// lost servers end within lostWithin at lossesAt, for a reason that lies in no request.
	lost       int
	lostWithin time.Duration
	lossesAt   []time.Duration
	// startsAt is when all instances start again without any records; zero is never.
	startsAt time.Duration
	// The parts are sound until soundFor, in soundRate requests a second.
	soundFor  time.Duration
	soundRate float64
	// All instances are killed restartAfter their fifth crash, if that is not zero. What was
	// recorded in the last recordsLost is lost.
	restartAfter, recordsLost time.Duration
	// sends is how often a request is sent in all where each of its servers crashes, and short has
	// prompts that are read at once. delay bounds the time that a message takes; zero is partDelay.
	sends int
	short bool
	delay time.Duration
	// unanswered has servers crash before they send a header.
	unanswered bool
}

func partScenarios() map[string]partScenario {
	return map[string]partScenario{
		"1 instance":                   {instances: 1, sound: 20, harmful: 2, subjects: 5, parts: []string{"dead"}, crashProbability: 1},
		"9 instances":                  {instances: 9, sound: 20, harmful: 2, subjects: 5, parts: []string{"dead"}, crashProbability: 1},
		"9 instances, many harmful":    {instances: 9, sound: 20, harmful: 10, subjects: 5, parts: []string{"dead"}, crashProbability: 1},
		"9 instances, two parts":       {instances: 9, sound: 20, harmful: 2, subjects: 5, parts: []string{"dead", "dread"}, crashProbability: 1},
		"9 instances, a companion":     {instances: 9, sound: 20, harmful: 2, subjects: 5, parts: []string{"dead"}, companion: true, crashProbability: 1},
		"9 instances, may crash":       {instances: 9, sound: 20, harmful: 2, subjects: 5, parts: []string{"dead"}, crashProbability: 0.8},
		"9 instances, other crashes":   {instances: 9, sound: 20, harmful: 2, subjects: 5, parts: []string{"dead"}, crashProbability: 1, otherCrashes: true},
		"9 instances, nothing harmful": {instances: 9, sound: 40, subjects: 5, otherCrashes: true},
		"195 instances":                {instances: 195, sound: 60, harmful: 2, subjects: 20, parts: []string{"dead"}, crashProbability: 1, otherCrashes: true},
		"986 instances":                {instances: 986, sound: 60, harmful: 2, subjects: 20, parts: []string{"dead"}, crashProbability: 1},
	}
}

// play plays a scenario for a time.
func (s partScenario) play(seed uint64, duration time.Duration) *partModel {
	const servers = 20

	m := newPartModel(s.instances, servers, s.crashProbability, seed)
	m.sends, m.unanswered = s.sends, s.unanswered

	if s.short {
		m.prefill, m.begin = 0, partStep
	}

	m.delay = cmp.Or(s.delay, m.delay)

	chance := func(perSecond float64) bool { return m.random.Float64() < perSecond*partStep.Seconds() }

	restarted := false

	for i := range int(duration / partStep) {
		if chance(s.sound) {
			parts := []string{"all", fmt.Sprint("subject", m.random.IntN(s.subjects))}
			if s.companion && m.random.IntN(40) == 0 {
				parts = append(parts, "companion")
			}

			m.send("", parts...)
		}

		for _, harmful := range s.parts {
			s.sendHarmful(m, harmful, time.Duration(i)*partStep, chance)
		}

		if s.restartAfter > 0 && !restarted && len(s.parts) > 0 && m.sinceFifthCrash(s.parts[0]) >= s.restartAfter {
			restarted = true

			m.restartAll(s.recordsLost)
		}

		if at := time.Duration(i) * partStep; s.startsAt > 0 && at == s.startsAt {
			m.restartAll(recordRetention)
		}

		s.lose(m, time.Duration(i)*partStep)

		if s.otherCrashes && i%200 == 199 {
			m.crash(m.random.IntN(servers))
		}

		if s.otherCrashes && (i == 300 || i == 900) {
			for server := range servers / 4 {
				m.crash(server)
			}
		}

		m.step()
	}

	return m
}

// lose ends the servers that are due to be lost at a time.
func (s partScenario) lose(m *partModel, at time.Duration) {
	for _, began := range s.lossesAt {
		for server := range s.lost {
			if due := began + s.lostWithin*time.Duration(server)/time.Duration(s.lost); due <= at && at < due+partStep {
				m.crash(server)
			}
		}
	}
}

// sendHarmful sends a request with a harmful part, which crashes no server until soundFor. Calm comes
// first, as before any incident.
func (s partScenario) sendHarmful(m *partModel, harmful string, at time.Duration, chance func(float64) bool) {
	rate := s.harmful
	if at < s.soundFor {
		rate = s.soundRate
	}

	if at <= 2*time.Second || !chance(rate) {
		return
	}

	parts := []string{"all", fmt.Sprint("subject", m.random.IntN(s.subjects))}
	if s.companion {
		parts = append(parts, "companion")
	}

	if parts = append(parts, harmful); at < s.soundFor {
		harmful = ""
	}

	m.send(harmful, parts...)
}

// sinceFifthCrash returns the time since a part crashed its fifth server.
func (m *partModel) sinceFifthCrash(part string) time.Duration {
	if crashes := m.crashedAt[part]; len(crashes) >= allowedCrashes {
		return m.now.Sub(crashes[allowedCrashes-1])
	}

	return -1
}

// Guards against parts that crash servers and are found out too late, or not at all, and against
// sound requests that are held off for parts which stand beside them.
func TestHarmfulPartsAreToldFromOthers(t *testing.T) {
	const (
		seeds    = 6
		duration = 20 * time.Second
	)

	for name, s := range partScenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			plays := seeds
			if s.instances > 100 {
				plays = 1
			}

			s.check(t, uint64(plays), duration)
		})
	}
}
