package claim

import (
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/logstream"
	"monsoonlever/provider"
)

// modelTimes are the times of one check.
type modelTimes struct {
	window    time.Duration
	maxWait   time.Duration
	voidHold  time.Duration
	delay     time.Duration
	retention time.Duration
}

// The times that checks run with. In the tight ones a window passes often; in
// the short ones the log keeps less than a window.
var (
	wideTimes = modelTimes{
		window:    10 * time.Minute,
		maxWait:   time.Minute,
		voidHold:  time.Second,
		delay:     30 * time.Second,
		retention: 12 * time.Minute,
	}
	tightTimes = modelTimes{
		window:    5 * time.Second,
		maxWait:   time.Second,
		voidHold:  300 * time.Millisecond,
		delay:     200 * time.Millisecond,
		retention: 5800 * time.Millisecond,
	}
	shortTimes = modelTimes{
		window:    5 * time.Second,
		maxWait:   time.Second,
		voidHold:  300 * time.Millisecond,
		delay:     200 * time.Millisecond,
		retention: 2 * time.Second,
	}
)

// tally counts what all checks of this process met, to show that they reach
// every verdict.
type tally struct {
	mu         sync.Mutex
	keys       int
	attempts   int
	executions int
	verdicts   map[Run]int
}

var met = tally{verdicts: make(map[Run]int)}

func (m *tally) note(f func(*tally)) {
	m.mu.Lock()
	defer m.mu.Unlock()

	f(m)
}

// appendFault is what the model's log does with one append.
type appendFault int

const (
	appendTaken appendFault = iota
	appendRefused
	appendAnswerLost
	appendNeverArrives
	appendArrivesLate
)

// sendFault is what becomes of one call of the model's service.
type sendFault int

const (
	sendAnswered sendFault = iota
	sendAnswerLost
	sendRefused
	sendNotSent
	sendNeverArrives
	sendArrivesLate
)

// modelKey is a key of the model's callers.
type modelKey struct {
	key        Key
	created    time.Time
	tellsTime  bool
	executions int
	answer     Result
}

// modelAttempt is an attempt of a caller at one process.
type modelAttempt struct {
	key        *modelKey
	body       byte
	id         RequestID
	answered   bool
	dispatched bool
	// mustNotRun names the verdict by which it may not run any more.
	mustNotRun Run
}

// modelAppend is an append whose result a process doesn't know.
type modelAppend struct {
	sequence logstream.Sequence
	command  Append
}

// modelSend is a dispatch on its way to the service.
type modelSend struct {
	attempt *modelAttempt
	wonAt   time.Time
	limit   time.Time
	checked bool
}

// modelProcess is one incarnation of an entry instance. It may be paused at
// any time: a paused one is one that takes no step.
type modelProcess struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
	table       *Table
	filter      logstream.Filter
	cursor      int
	goal        int
	sequence    logstream.Sequence
	written     time.Time
	queue       []Append
	open        []modelAppend
	sends       []modelSend
	attempts    map[RequestID]*modelAttempt
	next        RequestID
	down        bool
	replaced    bool
}

type lateAppend struct {
	data []byte
}

// model is several entry instances, a log and a service that counts.
type model struct {
	t     *rapid.T
	times modelTimes
	// gaps counts the times that a process missed records.
	gaps int
	// crowd is how many of the latest keys callers use again.
	crowd     int
	now       time.Time
	records   []provider.Record
	first     int
	late      []lateAppend
	lateSends []modelSend
	processes []*modelProcess
	keys      []*modelKey
	attempts  []*modelAttempt
	executed  int
}

func newModel(t *rapid.T, times modelTimes, processes int) *model {
	m := &model{t: t, times: times, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for i := range processes {
		m.start(fleet.InstanceID(fmt.Sprintf("entry-%d", i)), 1)
	}

	return m
}

func (m *model) start(id fleet.InstanceID, incarnation fleet.Incarnation) {
	p := &modelProcess{
		id:          id,
		incarnation: incarnation,
		filter:      logstream.Filter{MaxDelay: m.times.delay},
		cursor:      m.first,
		goal:        len(m.records),
		attempts:    make(map[RequestID]*modelAttempt),
		table: NewTable(Config{
			Self:        id,
			Incarnation: incarnation,
			Window:      m.times.window,
			MaxWait:     m.times.maxWait,
			VoidHold:    m.times.voidHold,
			MaxSkew:     m.times.delay,
			KeepBody:    4,
		}),
	}
	m.processes = append(m.processes, p)
	m.run(p, p.table.Horizon(m.horizon()))
	m.catchUp(p)
}

func (m *model) horizon() time.Time {
	batch := provider.Batch{Records: m.records[m.first:], First: provider.Offset(m.first + 1)}

	return logstream.Horizon(batch, m.now, m.times.retention, m.times.delay)
}

func (m *model) catchUp(p *modelProcess) {
	if p.cursor >= p.goal {
		p.table.CaughtUp()
	}
}

func (m *model) land(data []byte) {
	m.records = append(m.records, provider.Record{
		Offset: provider.Offset(len(m.records) + 1),
		Time:   m.now,
		Data:   data,
	})
}

// trim drops the records that the log needn't retain any more.
func (m *model) trim() {
	for m.first < len(m.records) && m.now.Sub(m.records[m.first].Time) > m.times.retention {
		m.first++
	}
}

func (m *model) newKey(tellsTime bool) *modelKey {
	met.note(func(m *tally) { m.keys++ })

	value := fmt.Sprintf("key-%d", len(m.keys))
	if tellsTime {
		var id uuid.UUID

		millis := m.now.UnixMilli()
		for i := range 6 {
			id[i] = byte(millis >> (40 - 8*i))
		}

		id[6] = 0x70
		id[8] = 0x80
		id[15] = byte(len(m.keys))
		value = id.String()
	}

	k := &modelKey{key: NewKey("payrun-api", "kronvig", value), created: m.now, tellsTime: tellsTime}
	m.keys = append(m.keys, k)

	return k
}

// usable tells whether a caller may still use a key. One that doesn't tell its
// time may be used for the window only.
func (m *model) usable(k *modelKey) bool {
	return k.tellsTime || m.now.Sub(k.created) < m.times.window-m.times.maxWait
}

func (m *model) submit(p *modelProcess, k *modelKey, body byte, wait time.Duration) {
	p.next++
	a := &modelAttempt{key: k, body: body, id: p.next}
	p.attempts[a.id] = a
	m.attempts = append(m.attempts, a)

	met.note(func(m *tally) { m.attempts++ })
	m.run(p, p.table.Submit(m.now, NewRequest(a.id, k.key, DigestOf([]byte{body}), m.now.Add(wait))))
}

func (m *model) run(p *modelProcess, commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case Append:
			p.queue = append(p.queue, c)
		case Dispatch:
			a := p.attempts[c.Request()]
			if a.dispatched {
				m.t.Fatalf("attempt %d of %s: got dispatched twice, want once", a.id, p.id)
			}

			if !c.Deadline().After(m.now) {
				m.t.Fatalf("attempt %d of %s: got dispatched at %v, want before its deadline %v", a.id, p.id, m.now, c.Deadline())
			}

			a.dispatched = true
			p.sends = append(p.sends, modelSend{attempt: a, wonAt: m.now, limit: c.Deadline()})
		case Answer:
			m.judge(p, p.attempts[c.Request()], c.Verdict())
		}
	}
}

// judge checks what an attempt is told.
func (m *model) judge(p *modelProcess, a *modelAttempt, v Verdict) {
	if a.answered {
		m.t.Fatalf("attempt %d of %s: got a second answer %s, want one", a.id, p.id, v.Run())
	}

	a.answered = true

	met.note(func(m *tally) { m.verdicts[v.Run()]++ })

	switch v.Run() {
	case Ran:
		m.judgeRan(a, v)
	case NotRun:
		if a.key.executions != 0 {
			m.t.Fatalf("%s was told notRun: got %d executions, want 0", a.key.key.Value(), a.key.executions)
		}

		for _, other := range m.attempts {
			if other.key == a.key {
				other.mustNotRun = NotRun
			}
		}
	case NotStarted, KeyReused, KeyExpired:
		a.mustNotRun = v.Run()
	default:
	}
}

func (m *model) judgeRan(a *modelAttempt, v Verdict) {
	if a.key.executions != 1 {
		m.t.Fatalf("%s was told ran: got %d executions, want 1", a.key.key.Value(), a.key.executions)
	}

	if got, want := v.Result().Status(), a.key.answer.Status(); got != want {
		m.t.Fatalf("%s was told ran: got status %d, want %d", a.key.key.Value(), got, want)
	}

	if got, want := string(v.Result().Body()), string(a.key.answer.Body()); v.BodyStored() && got != want {
		m.t.Fatalf("%s was told ran: got body %q, want %q", a.key.key.Value(), got, want)
	}
}

// execute runs a call at the service.
func (m *model) execute(a *modelAttempt) Result {
	if a.mustNotRun != "" {
		m.t.Fatalf("%s executed, want never after %s", a.key.key.Value(), a.mustNotRun)
	}

	a.key.executions++
	if a.key.executions > 1 {
		m.t.Fatalf("%s: got %d executions, want at most 1", a.key.key.Value(), a.key.executions)
	}

	m.executed++

	met.note(func(m *tally) { m.executions++ })

	body := "ok"

	if m.executed%3 == 0 {
		body = "larger than what is kept"
	}

	a.key.answer = NewResult(200+m.executed, nil, []byte(body))

	return a.key.answer
}

// flush makes one append of a process, or a fence if it has open ones only.
func (m *model) flush(p *modelProcess, fault appendFault) {
	item := logstream.Item{Kind: logstream.KindFence}

	var command Append

	switch {
	case len(p.queue) > 0:
		command = p.queue[0]
		p.queue = p.queue[1:]
		item = logstream.Item{Kind: command.Kind(), Payload: command.Payload()}
	case len(p.open) == 0:
		return
	}

	if m.now.After(p.written) {
		p.written = m.now
	}

	p.sequence++
	data, err := logstream.Batch{
		Writer: p.id, Incarnation: p.incarnation, WrittenMilli: p.written.UnixMilli(),
		First: p.sequence, Items: []logstream.Item{item},
	}.Encode()
	if err != nil {
		m.t.Fatal(err)
	}

	if fault == appendRefused {
		m.appendFailed(p, command, true)

		return
	}

	p.open = append(p.open, modelAppend{sequence: p.sequence, command: command})

	switch fault {
	case appendTaken, appendAnswerLost:
		m.land(data)
	case appendArrivesLate:
		m.late = append(m.late, lateAppend{data: data})
	default:
	}
}

func (m *model) appendFailed(p *modelProcess, command Append, dead bool) {
	if command.Payload() != nil {
		m.run(p, p.table.AppendFailed(m.now, command.Kind(), command.Request(), dead))
	}
}

// read gives a process the next records.
func (m *model) read(p *modelProcess, limit int) {
	if p.cursor < m.first {
		p.cursor = m.first
		m.gaps++
		m.run(p, p.table.Horizon(m.horizon()))

		open := p.open
		p.open = nil

		for _, o := range open {
			m.appendFailed(p, o.command, false)
		}
	}

	for ; p.cursor < len(m.records) && limit > 0; limit-- {
		r := m.records[p.cursor]
		p.cursor++
		m.readRecord(p, r)
	}

	m.catchUp(p)
}

func (m *model) readRecord(p *modelProcess, r provider.Record) {
	b, drop := p.filter.Accept(r)
	if drop != logstream.Kept {
		return
	}

	if b.Writer == p.id && b.Incarnation == p.incarnation {
		m.resolve(p, b.First)
	}

	for i, item := range b.Items {
		if item.Kind == logstream.KindFence {
			continue
		}

		by := logstream.Author{Writer: b.Writer, Incarnation: b.Incarnation, Sequence: b.First + logstream.Sequence(i)}
		at := logstream.Place{Offset: r.Offset, Time: r.Time}
		m.run(p, p.table.Read(m.now, logstream.NewEntry(by, item.Kind, item.Payload, at)))
	}
}

// resolve ends the open appends up to a sequence that was read back.
func (m *model) resolve(p *modelProcess, sequence logstream.Sequence) {
	var dead []Append

	kept := p.open[:0]

	for _, o := range p.open {
		switch {
		case o.sequence > sequence:
			kept = append(kept, o)
		case o.sequence < sequence:
			dead = append(dead, o.command)
		}
	}

	p.open = kept

	for _, command := range dead {
		m.appendFailed(p, command, true)
	}
}

// send takes the next dispatch of a process one stage further: first its
// deadline is checked, then, maybe much later, it is sent.
func (m *model) send(p *modelProcess, fault sendFault) {
	if len(p.sends) == 0 {
		return
	}

	s := p.sends[0]

	if !s.checked {
		if !s.limit.After(m.now) {
			p.sends = p.sends[1:]
			m.run(p, p.table.Declined(m.now, s.attempt.id))

			return
		}

		p.sends[0].checked = true

		return
	}

	p.sends = p.sends[1:]

	// A process paused for longer than keys are remembered is beyond what is
	// promised.
	if m.tooLate(s) {
		m.run(p, p.table.Broken(m.now, s.attempt.id))

		return
	}

	switch fault {
	case sendAnswered:
		m.run(p, p.table.Done(m.now, s.attempt.id, m.execute(s.attempt)))
	case sendAnswerLost:
		m.execute(s.attempt)
		m.run(p, p.table.Broken(m.now, s.attempt.id))
	case sendRefused, sendNotSent:
		m.run(p, p.table.Declined(m.now, s.attempt.id))
	case sendArrivesLate:
		m.lateSends = append(m.lateSends, s)
		m.run(p, p.table.Broken(m.now, s.attempt.id))
	default:
		m.run(p, p.table.Broken(m.now, s.attempt.id))
	}
}

func (m *model) tooLate(s modelSend) bool {
	return m.now.Sub(s.wonAt) > m.times.window-m.times.maxWait
}

// arriveSend lets a call reach the service after its sender gave it up.
func (m *model) arriveSend(i int) {
	s := m.lateSends[i]
	m.lateSends = append(m.lateSends[:i], m.lateSends[i+1:]...)

	if !m.tooLate(s) {
		m.execute(s.attempt)
	}
}

func (m *model) setDown(p *modelProcess, down bool) {
	p.down = down

	if down {
		m.run(p, p.table.LogDown())
	} else {
		p.table.LogUp()
	}
}
