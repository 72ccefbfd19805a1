package scheduling

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// unevenLoad is a load of prompts on engines of different speeds whose machines slow down at times.
// The instances know of each other's requests after a delay.
type unevenLoad struct {
	instances int
	// room is the share of what the engines can read that arrives.
	room  float64
	delay time.Duration
	// told returns the figure that an engine tells, by its number and its slowness; nil tells none.
	told func(number int, slowness float64) float64
	// keepFigures uses figures as if they held forever.
	keepFigures bool
	// shortest places each prompt by true knowledge where it is read first.
	shortest bool
	// usual gives all engines the same speed, without noise.
	usual bool
	// slowed returns by how much the speed of an engine is divided in addition; nil is never.
	// tellsSlowed makes the engine tell it.
	slowed      func(number int, at time.Duration) float64
	tellsSlowed bool
	duration    time.Duration
}

const (
	unevenEngines = 60
	noiseInterval = 600 * time.Millisecond
	noiseShare    = 0.15
	noiseSlowness = 2.5
	// updateInterval is how often the instances of the model send updates.
	updateInterval = 50 * time.Millisecond
	unevenWarmUp   = 6 * time.Second
	// sharedFraction is the fraction of a shared segment of drawPrompt that the prompts of the model
	// have, and meanReadTokens the mean of what is read for one: its own tokens, and shared ones for
	// about one in five.
	sharedFraction = 0.25
	meanReadTokens = 4300
)

// asTold tells each engine's slowness as it is.
func asTold(_ int, slowness float64) float64 { return slowness }

// speedOf returns the speed of an engine: two thirds are slow ones.
func (u unevenLoad) speedOf(number int) float64 {
	if u.usual {
		return 1
	}

	return []float64{0.7, 0.7, 1.7}[number%3]
}

// unevenEngine is an engine whose slowness changes with each noiseInterval.
type unevenEngine struct {
	engine
	number  int
	running int
	load    *unevenLoad
	begin   time.Time
	random  uint64
}

// slowness returns how long work takes at a time, relative to usual for this engine.
func (e *unevenEngine) slowness(at time.Time) float64 {
	interval := uint64(at.Sub(e.begin)/noiseInterval) + uint64(e.number)<<32
	if !e.load.usual && float64(mix(interval^e.random)>>11)/(1<<53) < noiseShare {
		return noiseSlowness
	}

	return 1
}

// rate returns the tokens that the engine reads in a nanosecond.
func (e *unevenEngine) rate(at time.Time) float64 {
	rate := tokensPerMillisecond * e.load.speedOf(e.number) / e.slowness(at) / float64(time.Millisecond)
	if e.load.slowed != nil {
		rate /= e.load.slowed(e.number, at.Sub(e.begin))
	}

	return rate
}

// readUneven returns when tokens that are read from a time on are read.
func (e *unevenEngine) readUneven(from time.Time, tokens int) time.Time {
	at, left := from, float64(tokens)

	for {
		rate := e.rate(at)
		next := e.begin.Add((at.Sub(e.begin)/noiseInterval + 1) * noiseInterval)

		if possible := rate * float64(next.Sub(at)); possible < left {
			left -= possible
			at = next

			continue
		}

		return at.Add(time.Duration(left / rate))
	}
}

// unread returns the tokens of a prompt that the engine has not cached.
func (e *unevenEngine) unread(p Prompt) int {
	unread := 0

	for i, segment := range p.Segments {
		if i == len(p.Segments)-1 || !e.cached[segment.ID] {
			unread += segment.Tokens
		}
	}

	return unread
}

func (e *unevenEngine) finish(now time.Time, p Prompt) time.Time {
	begin := now
	if e.busyUntil.After(begin) {
		begin = e.busyUntil
	}

	return e.readUneven(begin, e.unread(p))
}

// drawUnevenPrompt draws a prompt as drawPrompt does, with shorter shared segments.
func drawUnevenPrompt(random *rand.Rand, number int) Prompt {
	p := drawPrompt(random, number)
	shared := &p.Segments[0].Tokens
	p.Tokens -= *shared
	*shared = int(sharedFraction * float64(*shared))
	p.Tokens += *shared

	return p
}

// unevenResult is what callers and engines observed.
type unevenResult struct {
	waits []time.Duration
	// sent are the times since the begin at which prompts were sent to each engine.
	sent map[int][]time.Duration
}

func (r unevenResult) inTime() float64 {
	n, _ := slices.BinarySearch(r.waits, objective)

	return float64(n) / float64(len(r.waits))
}

func (r unevenResult) quantile(q float64) time.Duration {
	return r.waits[int(q*float64(len(r.waits)-1))]
}

// share returns the share of the prompts sent in a span of time that an engine got.
func (r unevenResult) share(number int, from, to time.Duration) float64 {
	own, all := 0, 0

	for other, times := range r.sent {
		for _, at := range times {
			if at >= from && at < to {
				all++

				if other == number {
					own++
				}
			}
		}
	}

	return float64(own) / float64(max(all, 1))
}

// run runs the load to its end.
func (u unevenLoad) run(t *testing.T, seed uint64) unevenResult {
	t.Helper()

	if u.duration == 0 {
		u.duration = 16 * time.Second
	}

	begin := now
	random := rand.New(rand.NewPCG(seed, 7))
	engines := make(map[fleet.InstanceID]*unevenEngine)
	schedulers := make([]*Scheduler, u.instances)
	result := unevenResult{sent: make(map[int][]time.Duration)}

	var (
		servers []register.Server
		events  eventQueue
	)

	speeds := 0.0

	for i := range unevenEngines {
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		engines[id] = &unevenEngine{
			engine: engine{cached: make(map[string]bool)}, number: i, load: &u, begin: begin, random: mix(seed),
		}
		speeds += u.speedOf(i)
		servers = append(servers, register.Server{ID: id, Service: "llm", Domain: "a", Slots: 64})
	}

	for i := range schedulers {
		schedulers[i] = &Scheduler{Domain: "a"}
		schedulers[i].Update(servers)
	}

	push := func(at time.Time, do func(time.Time)) { heap.Push(&events, event{at: at, do: do}) }

	tell := func(now time.Time, from int, a *Assignment) {
		e := engines[a.ID()]

		load := Load{Running: e.running, Slots: 64}
		if u.told != nil {
			slowness := e.slowness(now)
			if u.slowed != nil && u.tellsSlowed {
				slowness *= u.slowed(e.number, now.Sub(begin))
			}

			load.Slowness = u.told(e.number, slowness)
		}

		schedulers[from].RecordLoad(now, a.ID(), load)
		u.keep(schedulers[from])
	}

	place := func(now time.Time, from int, r Request) {
		a, err := schedulers[from].Pick(now, r)
		if err != nil {
			t.Fatalf("place: got %v, want a server", err)
		}

		e := engines[a.ID()]

		if u.shortest {
			for _, other := range engines {
				if other.finish(now, r.Prompt).Before(e.finish(now, r.Prompt)) {
					e = other
				}
			}
		}

		a.Start(now)

		e.running++
		e.busyUntil = e.finish(now, r.Prompt)
		result.sent[e.number] = append(result.sent[e.number], now.Sub(begin))

		for _, segment := range r.Prompt.Segments {
			e.cached[segment.ID] = true
		}

		if now.Sub(begin) >= unevenWarmUp {
			result.waits = append(result.waits, e.busyUntil.Sub(now))
		}

		push(e.busyUntil, func(now time.Time) {
			tell(now, from, a)
			a.EventReceived(now)

			e.running--

			a.End(now, Served)
		})
	}

	for i := range schedulers {
		var send func(now time.Time)

		send = func(now time.Time) {
			update := schedulers[i].TakeUpdate(now, Upstream)
			if !update.Empty() {
				push(now.Add(u.delay), func(now time.Time) {
					for j, other := range schedulers {
						if j != i {
							other.ApplyUpdate(now, fleet.InstanceID(fmt.Sprint("entry-", i)), Peer, update)
							u.keep(other)
						}
					}
				})
			}

			if now.Before(begin.Add(u.duration)) {
				push(now.Add(updateInterval), send)
			}
		}

		push(begin.Add(time.Duration(random.Int64N(int64(updateInterval)))), send)
	}

	usable := 1 - noiseShare + noiseShare/noiseSlowness
	if u.usual {
		usable = 1
	}

	interval := meanReadTokens / (u.room * usable * speeds * tokensPerMillisecond) * float64(time.Millisecond)

	at := begin
	for number := 0; at.Before(begin.Add(u.duration)); number++ {
		r := Request{Service: "llm", Prompt: drawUnevenPrompt(random, number)}
		from := random.IntN(u.instances)

		push(at, func(now time.Time) { place(now, from, r) })

		at = at.Add(time.Duration(random.ExpFloat64() * interval))
	}

	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		next.do(next.at)
	}

	slices.Sort(result.waits)

	return result
}

// runs runs the load with several seeds and returns what was observed in all of them.
func (u unevenLoad) runs(t *testing.T) unevenResult {
	t.Helper()

	var all unevenResult
	for seed := range uint64(3) {
		all.waits = append(all.waits, u.run(t, seed+1).waits...)
	}

	slices.Sort(all.waits)

	return all
}

// keep makes the figures that a scheduler knows hold forever, if the load asks for it.
func (u unevenLoad) keep(s *Scheduler) {
	if u.keepFigures {
		for _, p := range s.paces {
			p.persistence.Store(math.MaxInt64 / 2)
		}
	}
}

// Work goes where it is done first: more prompts begin in time on engines of different speeds than
// where all are taken as equal.
func TestPacedPlacingServesUnevenEngines(t *testing.T) {
	for _, instances := range []int{1, 9} {
		load := unevenLoad{instances: instances, room: 0.7, delay: 100 * time.Millisecond}
		equal := load.runs(t)

		load.told = asTold
		paced := load.runs(t)

		if got, before := paced.quantile(0.99), equal.quantile(0.99); float64(got) > 0.8*float64(before) {
			t.Errorf("%d instances: got a 99th percentile of %v, and %v with equal paces, want at most 0.8 of it", instances, got, before)
		}

		if got, before := 1-paced.inTime(), 1-equal.inTime(); got > before {
			t.Errorf("%d instances: got %.4f late, and %.4f with equal paces, want no more", instances, got, before)
		}
	}
}

// A server that turns slow gets less of the new work within half a second, and is back within three
// seconds after it recovered.
func TestSlowServerLosesAndRegainsItsShare(t *testing.T) { checkSlowServers(t, true) }

// The same for a server that does not tell that it is slow.
func TestSilentSlowServerLosesAndRegainsItsShare(t *testing.T) { checkSlowServers(t, false) }

// checkSlowServers makes six servers slow for some seconds and checks their share of the work.
func checkSlowServers(t *testing.T, tells bool) {
	t.Helper()

	const slowFrom, slowTo = 8 * time.Second, 12 * time.Second

	load := unevenLoad{
		instances: 9, room: 0.5, delay: 100 * time.Millisecond, told: asTold, usual: true, tellsSlowed: tells, duration: 24 * time.Second,
		slowed: func(number int, at time.Duration) float64 {
			if number < 6 && at >= slowFrom && at < slowTo {
				return 5
			}

			return 1
		},
	}

	r := load.run(t, 3)
	share := func(from, to time.Duration) float64 {
		sum := 0.0
		for number := range 6 {
			sum += r.share(number, from, to)
		}

		return sum
	}

	before := share(4*time.Second, slowFrom)
	if got := share(slowFrom+500*time.Millisecond, slowTo); got > before/2 {
		t.Errorf("told %v: share of slow servers: got %.4f, and %.4f before, want at most half of it", tells, got, before)
	}

	if got := share(slowTo+3*time.Second, slowTo+6*time.Second); got < before/2 {
		t.Errorf("told %v: share of recovered servers: got %.4f, and %.4f before, want at least half of it", tells, got, before)
	}
}

// A server that tells a wrong figure gets neither much more work than others nor none.
func TestWrongFiguresDoNotDrawOrStarve(t *testing.T) {
	for _, figure := range []float64{0.1, 0.5, 2, 10, 1e9} {
		load := unevenLoad{instances: 9, room: 0.7, delay: 100 * time.Millisecond, usual: true, duration: 20 * time.Second}
		load.told = func(number int, slowness float64) float64 {
			if number == 0 {
				return figure
			}

			return slowness
		}

		got := load.run(t, 5).share(0, 10*time.Second, 20*time.Second) * unevenEngines
		if got < 0.3 || got > 2 {
			t.Errorf("figure %g: got %.2f of the share of other servers, want 0.3 to 2", figure, got)
		}
	}
}

// Prints the table of the design note. It takes minutes, and runs only with SIZES=all.
func TestPaceTable(t *testing.T) {
	if os.Getenv("SIZES") != "all" {
		t.Skip("runs only with SIZES=all")
	}

	ways := []struct {
		name string
		load unevenLoad
	}{
		{"all equal", unevenLoad{}},
		{"learned only", unevenLoad{told: func(int, float64) float64 { return 1 }}},
		{"figure as told", unevenLoad{told: asTold, keepFigures: true}},
		{"figure decayed", unevenLoad{told: asTold}},
		{"figure as tie-break", unevenLoad{told: func(_ int, x float64) float64 { return 1 + 0.05*(x-1) }}},
		{"true knowledge", unevenLoad{shortest: true}},
	}

	print := func(instances int, room float64, delay time.Duration) {
		for _, way := range ways {
			load := way.load
			load.instances, load.room, load.delay, load.duration = instances, room, delay, 14*time.Second
			r := load.run(t, 1)
			t.Logf("%2d instances, room %.2f, delay %4d ms: %-20s in time %.4f, p50 %v, p99 %v", instances, room, delay.Milliseconds(),
				way.name, r.inTime(), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond))
		}
	}

	for _, instances := range []int{1, 9, 66} {
		for _, room := range []float64{0.5, 0.7, 0.85, 0.95} {
			print(instances, room, 100*time.Millisecond)
		}
	}

	for _, delay := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		print(9, 0.7, delay)
	}
}
