package scheduling

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// brittleModel is a load of streams on engines that all say that they are brittle: one that has to
// reject too many requests in a second falls, and comes back as another process that is empty.
type brittleModel struct {
	instances, engines int
	// slots is how many streams an engine runs at a time, and waiting how many wait, before and after
	// its room has shrunk.
	slots, waitingBefore, waitingAfter int
	// maxRejections is how many rejections in a second an engine bears.
	maxRejections int
	// demand is the load in slots of all engines.
	demand float64
	// disturb is called during the play; it may be nil.
	disturb func(p *brittlePlay)
	seed    uint64
}

const (
	// brittleStream is the mean duration of a stream, and brittleDown how long an engine that fell is
	// down.
	brittleStream = 1100 * time.Millisecond
	brittleDown   = 3 * time.Second
	// brittleShrinkAt is when engines get less room, after they all said that they are brittle.
	brittleShrinkAt = 4 * time.Second
	brittleLasts    = 20 * time.Second
	brittleLatency  = 2 * time.Millisecond
	// brittleUpdates is how often instances exchange updates.
	brittleUpdates = 100 * time.Millisecond
	// brittleAttempts is how many servers a request is sent to.
	brittleAttempts = 2
)

// brittlePlay is a running model.
type brittlePlay struct {
	brittleModel

	mu         sync.Mutex
	random     *rand.Rand
	begun      time.Time
	schedulers []*Scheduler
	limiters   map[fleet.InstanceID]*ratelimit.Limiter
	ids        []fleet.InstanceID
	leaders    []fleet.InstanceID
	down       map[fleet.InstanceID]bool
	engineOf   map[fleet.InstanceID]*brittleEngine
	entries    []register.Server
	starts     int
	result     brittleResult
}

// brittleResult is what callers and engines observed.
type brittleResult struct {
	falls, rejected, served, wanted int
	// permitted are the rejected requests that had a permit.
	permitted int
	// fallenAt is when engines fell, and fallenAge how long each had run by then.
	fallenAt, fallenAge []time.Duration
}

// freshFalls returns how many of the engines fell that had run for less than a time.
func (r brittleResult) freshFalls(age time.Duration) int {
	n := 0

	for _, a := range r.fallenAge {
		if a < age {
			n++
		}
	}

	return n
}

// brittleEngine is one process of an engine.
type brittleEngine struct {
	play    *brittlePlay
	entry   register.Server
	running int
	queue   []chan bool
	rejects []time.Time
	fallen  bool
	// readUntil is when the engine has read all prompts that it runs.
	readUntil time.Time
	fallenCh  chan struct{}
	startedAt time.Time
}

// startEngine adds an empty engine, which all instances know a moment later.
func (p *brittlePlay) startEngine() {
	p.mu.Lock()
	p.starts++
	e := &brittleEngine{play: p, startedAt: time.Now(), fallenCh: make(chan struct{}), entry: register.Server{
		ID: fleet.InstanceID(fmt.Sprint("i-", p.starts)), Incarnation: fleet.Incarnation(p.starts), Service: "llm", Domain: "a", Slots: p.slots, Address: fmt.Sprint("address-", p.starts),
	}}
	p.engineOf[e.entry.ID] = e
	p.entries = append(p.entries, e.entry)
	p.mu.Unlock()
	p.publishEntries()
}

// removeEngine removes the entry of an engine.
func (p *brittlePlay) removeEngine(id fleet.InstanceID) {
	p.mu.Lock()

	var kept []register.Server

	for _, s := range p.entries {
		if s.ID != id {
			kept = append(kept, s)
		}
	}

	p.entries = kept
	p.mu.Unlock()
	p.publishEntries()
}

func (p *brittlePlay) publishEntries() {
	p.mu.Lock()
	entries := append([]register.Server(nil), p.entries...)
	p.mu.Unlock()

	for _, s := range p.schedulers {
		s.Update(entries)
	}
}

func (e *brittleEngine) waitingRoom() int {
	if time.Since(e.play.begun) < brittleShrinkAt {
		return e.play.waitingBefore
	}

	return e.play.waitingAfter
}

// enter takes a place. It returns a channel that receives when the stream begins, or false if the
// engine rejects the request.
func (e *brittleEngine) enter() (begin chan bool, ok bool) {
	e.play.mu.Lock()
	defer e.play.mu.Unlock()

	if e.fallen {
		return nil, false
	}

	begin = make(chan bool, 1)

	switch {
	case e.running < e.play.slots:
		e.running++
		begin <- true
	case len(e.queue) < e.waitingRoom():
		e.queue = append(e.queue, begin)
	default:
		e.reject()

		return nil, false
	}

	return begin, true
}

// reject counts a rejection; the caller holds the lock.
func (e *brittleEngine) reject() {
	now := time.Now()
	e.play.result.rejected++
	e.rejects = append(e.rejects, now)

	for now.Sub(e.rejects[0]) > time.Second {
		e.rejects = e.rejects[1:]
	}

	if len(e.rejects) <= e.play.maxRejections {
		return
	}

	e.fallen = true
	e.play.result.falls++
	e.play.result.fallenAt = append(e.play.result.fallenAt, now.Sub(e.play.begun).Round(10*time.Millisecond))
	e.play.result.fallenAge = append(e.play.result.fallenAge, now.Sub(e.startedAt).Round(10*time.Millisecond))
	close(e.fallenCh)

	id := e.entry.ID
	time.AfterFunc(brittleDown, e.play.startEngine)
	time.AfterFunc(brittleDown+500*time.Millisecond, func() { e.play.removeEngine(id) })
}

func (e *brittleEngine) leave() {
	e.play.mu.Lock()
	defer e.play.mu.Unlock()

	if len(e.queue) > 0 {
		e.queue[0] <- true
		e.queue = e.queue[1:]

		return
	}

	e.running--
}

// tokens draws the length of a prompt.
func (p *brittlePlay) tokens() float64 {
	const least, longest = 200, 12_000

	p.mu.Lock()
	defer p.mu.Unlock()

	return least * math.Pow(longest/least, p.random.Float64())
}

// read returns how long it takes until a prompt is read, after those before it.
func (e *brittleEngine) read(tokens float64) time.Duration {
	const tokensPerMillisecond = 56.6

	e.play.mu.Lock()
	defer e.play.mu.Unlock()

	now := time.Now()
	if e.readUntil.Before(now) {
		e.readUntil = now
	}

	e.readUntil = e.readUntil.Add(time.Duration(tokens / tokensPerMillisecond * float64(time.Millisecond)))

	return e.readUntil.Sub(now)
}

func (e *brittleEngine) load() Load {
	e.play.mu.Lock()
	defer e.play.mu.Unlock()

	return Load{Running: e.running, Waiting: len(e.queue), Slots: e.play.slots}
}

func (e *brittleEngine) isFallen() bool {
	e.play.mu.Lock()
	defer e.play.mu.Unlock()

	return e.fallen
}

// attempt sends a request to the engine that was picked. It reports whether the request was
// served, and whether it may be sent again at no cost.
func (p *brittlePlay) attempt(s *Scheduler, a *Assignment, duration time.Duration) (served, unsent bool) {
	p.mu.Lock()
	e := p.engineOf[a.ID()]
	p.mu.Unlock()

	if !a.Start(time.Now()) {
		return false, true
	}

	time.Sleep(brittleLatency)

	if e.isFallen() {
		a.End(time.Now(), Terminated)

		return false, true
	}

	begin, ok := e.enter()
	if !ok {
		time.Sleep(brittleLatency)

		if e.isFallen() {
			a.End(time.Now(), Failed)
			a.ReportTerminated(time.Now())

			return false, false
		}

		p.mu.Lock()
		if a.permit != nil {
			p.result.permitted++
		}
		p.mu.Unlock()

		s.RecordLoad(time.Now(), a.ID(), e.load())
		a.AnnouncedBrittle(p.maxRejections)
		a.End(time.Now(), Rejected)

		return false, false
	}

	select {
	case <-begin:
	case <-e.fallenCh:
		a.End(time.Now(), Failed)
		a.ReportTerminated(time.Now())

		return false, false
	}

	select {
	case <-time.After(e.read(p.tokens())):
	case <-e.fallenCh:
		a.End(time.Now(), Failed)
		a.ReportTerminated(time.Now())

		return false, false
	}

	s.RecordLoad(time.Now(), a.ID(), e.load())
	a.AnnouncedBrittle(p.maxRejections)
	a.Accepted()
	a.FirstEventReceived(time.Now())

	select {
	case <-time.After(duration):
		e.leave()
		a.End(time.Now(), Served)

		return true, false
	case <-e.fallenCh:
		a.End(time.Now(), Failed)
		a.ReportTerminated(time.Now())

		return false, false
	}
}

// serve runs one request of a caller.
func (p *brittlePlay) serve(s *Scheduler, duration time.Duration) {
	const objective = time.Second

	arrived := time.Now()
	r := Request{
		Service: "llm", WaitUntil: arrived.Add(objective),
		Due: arrived.Add(objective), HoldUntil: arrived.Add(4 * objective), CallerDeadline: arrived.Add(10 * objective),
	}

	for sent := 0; sent < brittleAttempts; {
		a, err := s.Place(context.Background(), clock.System{}, r)
		if err != nil {
			return
		}

		r.Excluded = append(r.Excluded, a.ID())

		served, unsent := p.attempt(s, a, duration)
		if served {
			p.mu.Lock()
			p.result.served++
			p.mu.Unlock()

			return
		}

		if !unsent {
			sent++
		}
	}
}

// run runs the model to its end.
func (m brittleModel) run() brittleResult {
	p := &brittlePlay{
		brittleModel: m, random: rand.New(rand.NewPCG(m.seed, 3)), begun: time.Now(),
		limiters: make(map[fleet.InstanceID]*ratelimit.Limiter), engineOf: make(map[fleet.InstanceID]*brittleEngine), down: make(map[fleet.InstanceID]bool),
	}

	for i := range m.instances {
		p.ids = append(p.ids, fleet.InstanceID(fmt.Sprint("entry-", i)))
	}

	p.leaders = p.ids[:min(5, len(p.ids))]

	for range m.instances {
		p.schedulers = append(p.schedulers, &Scheduler{Domain: "a", Resume: DefaultResumePolicy})
	}

	for i, id := range p.ids {
		p.startInstance(i, id)
	}

	for range m.engines {
		p.startEngine()
	}

	relay := &Scheduler{Domain: "a"}
	relay.SetRelay(true)

	ctx, stop := context.WithCancel(context.Background())

	var background sync.WaitGroup

	background.Go(func() { p.exchange(ctx, relay) })

	if m.disturb != nil {
		background.Go(func() { m.disturb(p) })
	}

	var requests sync.WaitGroup

	// The service of a slot takes brittleStream, so that demand slots are used on average.
	interval := float64(brittleStream) / (m.demand * float64(m.engines*m.slots))

	for ended := p.begun.Add(brittleLasts); time.Now().Before(ended); {
		p.mu.Lock()
		pause := time.Duration(p.random.ExpFloat64() * interval)
		duration := time.Duration((0.2 + 1.6*p.random.Float64()) * float64(brittleStream))
		s := p.schedulers[p.random.IntN(len(p.schedulers))]
		p.result.wanted++
		p.mu.Unlock()

		requests.Go(func() { p.serve(s, duration) })
		time.Sleep(pause)
	}

	requests.Wait()
	stop()
	background.Wait()

	return p.result
}

// startInstance gives an instance a limiter that knows nothing.
func (p *brittlePlay) startInstance(i int, id fleet.InstanceID) {
	granter := &ratelimit.Granter{Self: id}
	granter.SetLeaders(time.Now(), p.leaders)

	limiter := &ratelimit.Limiter{
		Self: id, Clock: clock.System{}, Granter: granter, Announcements: p.schedulers[i],
		Leaders: func() []fleet.InstanceID {
			p.mu.Lock()
			defer p.mu.Unlock()

			return p.leaders
		},
		Send: func(to fleet.InstanceID, request ratelimit.PermitRequest) { p.deliver(to, request) },
		SendReport: func(to fleet.InstanceID, report ratelimit.PermitReport) {
			time.AfterFunc(brittleLatency, func() {
				p.mu.Lock()
				granter, lost := p.limiters[to], p.down[to]
				p.mu.Unlock()

				if !lost {
					granter.HandleReport(report)
				}
			})
		},
	}

	p.mu.Lock()
	p.limiters[id] = limiter
	p.mu.Unlock()

	p.schedulers[i].Permits = limiter
}

// deliver delivers a request for a permit, and its response, with the latency between instances.
func (p *brittlePlay) deliver(to fleet.InstanceID, request ratelimit.PermitRequest) {
	time.AfterFunc(brittleLatency, func() {
		p.mu.Lock()
		granter, asker, lost := p.limiters[to], p.limiters[request.From], p.down[to]
		p.mu.Unlock()

		if lost {
			return
		}

		response := granter.HandleRequest(request)
		time.AfterFunc(brittleLatency, func() { asker.HandleResponse(response) })
	})
}

// exchange passes updates between all instances by way of one relay.
func (p *brittlePlay) exchange(ctx context.Context, relay *Scheduler) {
	for ctx.Err() == nil {
		time.Sleep(brittleUpdates)

		p.mu.Lock()
		entries := append([]register.Server(nil), p.entries...)
		p.mu.Unlock()

		relay.Update(entries)

		now := time.Now()
		for i, s := range p.schedulers {
			relay.ApplyUpdate(now, p.ids[i], Subscriber, s.TakeUpdate(now, Upstream))
			s.TakeUpdate(now, Downstream)
		}

		update := relay.TakeUpdate(now, Downstream)
		relay.TakeUpdate(now, Upstream)

		for _, s := range p.schedulers {
			s.ApplyUpdate(now, "relay", Relay, update)
		}
	}
}

// changeLeaders replaces the leaders, whose successors know nothing of the servers' room.
func (p *brittlePlay) changeLeaders() {
	p.mu.Lock()
	leaders := make([]fleet.InstanceID, 0, len(p.leaders))

	for _, i := range p.random.Perm(len(p.ids))[:len(p.leaders)] {
		leaders = append(leaders, p.ids[i])
	}

	p.leaders = leaders
	p.mu.Unlock()

	for _, id := range p.ids {
		p.mu.Lock()
		limiter := p.limiters[id]
		p.mu.Unlock()

		limiter.Granter.SetLeaders(time.Now(), leaders)
	}
}

// Guards against brittle engines that fall over and over under the requests that they reject: those
// that come back empty and unknown, those whose room all shrinks at once, and those whose granters
// change.
func TestBrittleEnginesAreNotOverrun(t *testing.T) {
	sizes := []struct{ instances, engines int }{{9, 12}}
	if os.Getenv("SIZES") == "all" {
		sizes = append(sizes, struct{ instances, engines int }{77, 90})
	}

	for _, size := range sizes {
		for name, m := range map[string]brittleModel{
			"usual load":        {demand: 0.6, maxRejections: 4, waitingAfter: 2},
			"busy":              {demand: 0.95, maxRejections: 4, waitingAfter: 2},
			"overload":          {demand: 1.5, maxRejections: 4, waitingAfter: 2},
			"no room to wait":   {demand: 1.2, maxRejections: 4},
			"single rejection":  {demand: 1.2, maxRejections: 1, waitingAfter: 1},
			"leaders change":    {demand: 1.2, maxRejections: 4, waitingAfter: 2, disturb: func(p *brittlePlay) { time.Sleep(10 * time.Second); p.changeLeaders() }},
			"an engine is lost": {demand: 1.2, maxRejections: 4, waitingAfter: 2, disturb: func(p *brittlePlay) { time.Sleep(10 * time.Second); p.crashEngines(1) }},
			"half are lost":     {demand: 0.6, maxRejections: 4, waitingAfter: 2, disturb: func(p *brittlePlay) { time.Sleep(10 * time.Second); p.crashEngines(p.engines / 2) }},
			"half, single":      {demand: 0.95, maxRejections: 1, waitingAfter: 1, disturb: func(p *brittlePlay) { time.Sleep(10 * time.Second); p.crashEngines(p.engines / 2) }},
		} {
			m.instances, m.engines, m.slots, m.waitingBefore = size.instances, size.engines, 16, 33

			t.Run(fmt.Sprint(size.instances, " instances, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					got := m.run()
					t.Logf("%d falls, %d of engines that had run for less than 100 ms; rejected %d, %d with a permit; served %d of %d",
						got.falls, got.freshFalls(100*time.Millisecond), got.rejected, got.permitted, got.served, got.wanted)

					if maxFalls := 2 + m.engines/10; got.falls > maxFalls {
						t.Errorf("engines fell: got %d times, want at most %d", got.falls, maxFalls)
					}

					capacity := int(float64(m.engines*m.slots) * float64(brittleLasts) / float64(brittleStream))
					if want := min(got.wanted, capacity) / 2; got.served < want {
						t.Errorf("served: got %d, want at least half of %d wanted or %d that fit", got.served, got.wanted, capacity)
					}
				})
			})
		}
	}
}

// crashEngines ends the first engines for another reason than their rejections.
func (p *brittlePlay) crashEngines(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, entry := range p.entries[:n] {
		e := p.engineOf[entry.ID]
		if e.fallen {
			continue
		}

		e.fallen = true
		close(e.fallenCh)

		time.AfterFunc(brittleDown, p.startEngine)
		time.AfterFunc(brittleDown+500*time.Millisecond, func() { p.removeEngine(entry.ID) })
	}
}
