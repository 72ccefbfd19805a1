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

// modelTimings are the durations that one check uses.
type modelTimings struct {
	window       time.Duration
	maxTimeout   time.Duration
	voidCooldown time.Duration
	delay        time.Duration
	retention    time.Duration
}

// With shortWindow many keys expire during a check. With shortRetention the log retains
// records for less than the window.
var (
	longWindow = modelTimings{
		window:       10 * time.Minute,
		maxTimeout:   time.Minute,
		voidCooldown: time.Second,
		delay:        30 * time.Second,
		retention:    12 * time.Minute,
	}
	shortWindow = modelTimings{
		window:       5 * time.Second,
		maxTimeout:   time.Second,
		voidCooldown: 300 * time.Millisecond,
		delay:        200 * time.Millisecond,
		retention:    5800 * time.Millisecond,
	}
	shortRetention = modelTimings{
		window:       5 * time.Second,
		maxTimeout:   time.Second,
		voidCooldown: 300 * time.Millisecond,
		delay:        200 * time.Millisecond,
		retention:    2 * time.Second,
	}
)

// coverage counts the keys, attempts, executions and verdicts of all checks in this
// process, to show that they reach every verdict.
type coverage struct {
	mu         sync.Mutex
	keys       int
	attempts   int
	executions int
	verdicts   map[RunState]int
}

var totals = coverage{verdicts: make(map[RunState]int)}

func (c *coverage) update(f func(*coverage)) {
	c.mu.Lock()
	defer c.mu.Unlock()

	f(c)
}

// appendFault is the effect of the model's log on one append.
type appendFault int

const (
	appendAcknowledged appendFault = iota
	appendRefused
	appendResponseLost
	appendLost
	appendDelayed
)

// sendFault is the result of one call of the model's service.
type sendFault int

const (
	sendSucceeds sendFault = iota
	sendResponseLost
	sendRefused
	sendNotSent
	sendLost
	sendDelayed
)

// modelKey is an idempotency key of the model's callers.
type modelKey struct {
	key        Key
	created    time.Time
	hasTime    bool
	executions int
	result     Result
}

// modelAttempt is an attempt of a caller at one process.
type modelAttempt struct {
	key        *modelKey
	body       byte
	id         AttemptID
	resolved   bool
	dispatched bool
	// mustNotRun is the verdict after which the attempt must not run.
	mustNotRun RunState
}

// modelAppend is an append whose result the process doesn't know.
type modelAppend struct {
	sequence logstream.Sequence
	command  Append
}

// modelSend is a dispatched call that has not reached the service. checked is set once the
// process has checked its deadline.
type modelSend struct {
	attempt      *modelAttempt
	dispatchedAt time.Time
	deadline     time.Time
	checked      bool
}

// modelProcess is one incarnation of an entry instance. A process is paused while it takes
// no step, which may be at any time.
type modelProcess struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
	table       *Table
	filter      logstream.Filter
	cursor      int
	catchUpAt   int
	sequence    logstream.Sequence
	lastWritten time.Time
	queue       []Append
	openAppends []modelAppend
	sends       []modelSend
	attempts    map[AttemptID]*modelAttempt
	next        AttemptID
	down        bool
	replaced    bool
}

type lateAppend struct {
	data []byte
}

// model simulates several entry instances, a log and a service that counts executions.
type model struct {
	t     *rapid.T
	times modelTimings
	// gaps counts how often a process missed records.
	gaps int
	// recentKeys is the number of latest keys that callers use again.
	recentKeys  int
	now         time.Time
	records     []provider.Record
	first       int
	lateAppends []lateAppend
	lateSends   []modelSend
	processes   []*modelProcess
	keys        []*modelKey
	attempts    []*modelAttempt
	executed    int
}

func newModel(t *rapid.T, times modelTimings, processes int) *model {
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
		catchUpAt:   len(m.records),
		attempts:    make(map[AttemptID]*modelAttempt),
		table: NewTable(Config{
			Self:          id,
			Incarnation:   incarnation,
			Window:        m.times.window,
			MaxTimeout:    m.times.maxTimeout,
			VoidCooldown:  m.times.voidCooldown,
			MaxSkew:       m.times.delay,
			MaxStoredBody: 4,
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
	if p.cursor >= p.catchUpAt {
		p.table.CaughtUp()
	}
}

func (m *model) appendRecord(data []byte) {
	m.records = append(m.records, provider.Record{
		Offset: provider.Offset(len(m.records) + 1),
		Time:   m.now,
		Data:   data,
	})
}

// trim deletes the records whose retention has passed.
func (m *model) trim() {
	for m.first < len(m.records) && m.now.Sub(m.records[m.first].Time) > m.times.retention {
		m.first++
	}
}

func (m *model) newKey(hasTime bool) *modelKey {
	totals.update(func(m *coverage) { m.keys++ })

	value := fmt.Sprintf("key-%d", len(m.keys))
	if hasTime {
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

	k := &modelKey{key: NewKey("payrun-api", "kronvig", value), created: m.now, hasTime: hasTime}
	m.keys = append(m.keys, k)

	return k
}

// mayUse reports whether a caller may still use a key. A key without a time in it may only
// be used within the window.
func (m *model) mayUse(k *modelKey) bool {
	return k.hasTime || m.now.Sub(k.created) < m.times.window-m.times.maxTimeout
}

func (m *model) submit(p *modelProcess, k *modelKey, body byte, wait time.Duration) {
	p.next++
	a := &modelAttempt{key: k, body: body, id: p.next}
	p.attempts[a.id] = a
	m.attempts = append(m.attempts, a)

	totals.update(func(m *coverage) { m.attempts++ })
	m.run(p, p.table.Submit(m.now, NewSubmission(a.id, k.key, DigestOf([]byte{body}), m.now.Add(wait))))
}

func (m *model) run(p *modelProcess, commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case Append:
			p.queue = append(p.queue, c)
		case Dispatch:
			a := p.attempts[c.Attempt()]
			if a.dispatched {
				m.t.Fatalf("attempt %d of %s: got dispatched twice, want once", a.id, p.id)
			}

			if !c.Deadline().After(m.now) {
				m.t.Fatalf("attempt %d of %s: got dispatched at %v, want before its deadline %v", a.id, p.id, m.now, c.Deadline())
			}

			a.dispatched = true
			p.sends = append(p.sends, modelSend{attempt: a, dispatchedAt: m.now, deadline: c.Deadline()})
		case Resolve:
			m.checkVerdict(p, p.attempts[c.Attempt()], c.Verdict())
		}
	}
}

// checkVerdict checks a verdict against the executions so far and records which attempts
// must not run after it.
func (m *model) checkVerdict(p *modelProcess, a *modelAttempt, v Verdict) {
	if a.resolved {
		m.t.Fatalf("attempt %d of %s: got a second verdict %s, want one", a.id, p.id, v.Run())
	}

	a.resolved = true

	totals.update(func(m *coverage) { m.verdicts[v.Run()]++ })

	switch v.Run() {
	case Ran:
		m.checkRan(a, v)
	case NotRun:
		if a.key.executions != 0 {
			m.t.Fatalf("%s has the verdict notRun: got %d executions, want 0", a.key.key.Value(), a.key.executions)
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

func (m *model) checkRan(a *modelAttempt, v Verdict) {
	if a.key.executions != 1 {
		m.t.Fatalf("%s has the verdict ran: got %d executions, want 1", a.key.key.Value(), a.key.executions)
	}

	if got, want := v.Result().Status(), a.key.result.Status(); got != want {
		m.t.Fatalf("%s has the verdict ran: got status %d, want %d", a.key.key.Value(), got, want)
	}

	if got, want := string(v.Result().Body()), string(a.key.result.Body()); v.BodyStored() && got != want {
		m.t.Fatalf("%s has the verdict ran: got body %q, want %q", a.key.key.Value(), got, want)
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

	totals.update(func(m *coverage) { m.executions++ })

	body := "ok"

	if m.executed%3 == 0 {
		body = "larger than MaxStoredBody"
	}

	a.key.result = NewResult(200+m.executed, nil, []byte(body))

	return a.key.result
}

// flush makes the next queued append of a process. Without one it appends a fence if
// earlier appends have no result yet.
func (m *model) flush(p *modelProcess, fault appendFault) {
	item := logstream.Item{Kind: logstream.KindFence}

	var command Append

	switch {
	case len(p.queue) > 0:
		command = p.queue[0]
		p.queue = p.queue[1:]
		item = logstream.Item{Kind: command.Kind(), Payload: command.Payload()}
	case len(p.openAppends) == 0:
		return
	}

	if m.now.After(p.lastWritten) {
		p.lastWritten = m.now
	}

	p.sequence++
	data, err := logstream.Batch{
		Writer: p.id, Incarnation: p.incarnation, WrittenMilli: p.lastWritten.UnixMilli(),
		First: p.sequence, Items: []logstream.Item{item},
	}.Encode()
	if err != nil {
		m.t.Fatal(err)
	}

	if fault == appendRefused {
		m.appendFailed(p, command, true)

		return
	}

	p.openAppends = append(p.openAppends, modelAppend{sequence: p.sequence, command: command})

	switch fault {
	case appendAcknowledged, appendResponseLost:
		m.appendRecord(data)
	case appendDelayed:
		m.lateAppends = append(m.lateAppends, lateAppend{data: data})
	default:
	}
}

func (m *model) appendFailed(p *modelProcess, command Append, definite bool) {
	if command.Payload() != nil {
		m.run(p, p.table.AppendFailed(m.now, command.Kind(), command.Attempt(), definite))
	}
}

// read passes the next records to a process.
func (m *model) read(p *modelProcess, limit int) {
	if p.cursor < m.first {
		p.cursor = m.first
		m.gaps++
		m.run(p, p.table.Horizon(m.horizon()))

		open := p.openAppends
		p.openAppends = nil

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
	b, dropReason := p.filter.Accept(r)
	if dropReason != logstream.Kept {
		return
	}

	if b.Writer == p.id && b.Incarnation == p.incarnation {
		m.resolveAppends(p, b.First)
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

// resolveAppends ends the open appends up to a sequence number that was read back.
func (m *model) resolveAppends(p *modelProcess, sequence logstream.Sequence) {
	var failed []Append

	pending := p.openAppends[:0]

	for _, o := range p.openAppends {
		switch {
		case o.sequence > sequence:
			pending = append(pending, o)
		case o.sequence < sequence:
			failed = append(failed, o.command)
		}
	}

	p.openAppends = pending

	for _, command := range failed {
		m.appendFailed(p, command, true)
	}
}

// send advances the next dispatch of a process by one stage: the first checks the deadline,
// the second, possibly much later, sends the call.
func (m *model) send(p *modelProcess, fault sendFault) {
	if len(p.sends) == 0 {
		return
	}

	s := p.sends[0]

	if !s.checked {
		if !s.deadline.After(m.now) {
			p.sends = p.sends[1:]
			m.run(p, p.table.Declined(m.now, s.attempt.id))

			return
		}

		p.sends[0].checked = true

		return
	}

	p.sends = p.sends[1:]

	// At most one execution is not guaranteed if a process is paused for longer than keys
	// are retained.
	if m.tooLate(s) {
		m.run(p, p.table.Broken(m.now, s.attempt.id))

		return
	}

	switch fault {
	case sendSucceeds:
		m.run(p, p.table.Completed(m.now, s.attempt.id, m.execute(s.attempt)))
	case sendResponseLost:
		m.execute(s.attempt)
		m.run(p, p.table.Broken(m.now, s.attempt.id))
	case sendRefused, sendNotSent:
		m.run(p, p.table.Declined(m.now, s.attempt.id))
	case sendDelayed:
		m.lateSends = append(m.lateSends, s)
		m.run(p, p.table.Broken(m.now, s.attempt.id))
	default:
		m.run(p, p.table.Broken(m.now, s.attempt.id))
	}
}

func (m *model) tooLate(s modelSend) bool {
	return m.now.Sub(s.dispatchedAt) > m.times.window-m.times.maxTimeout
}

// deliverLateSend delivers a call to the service after its sender stopped waiting for it.
func (m *model) deliverLateSend(i int) {
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
