package scheduling

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// simulation is a load of prompts on engines that several instances place without coordination.
// Engines read prompts one after the other and cache what they have read.
type simulation struct {
	instances, engines int
	// interval is the mean time between two prompts.
	interval time.Duration
	duration time.Duration
	// updates sends the instances each other's updates, delayed by delay.
	updates bool
	delay   time.Duration
	// holding allows holding prompts that can't begin in time.
	holding bool
	// burst multiplies the arrival rate from burstFrom on, for burstFor.
	burst float64
	seed  uint64
}

const (
	burstFrom = 14 * time.Second
	burstFor  = 5 * time.Second
	// objective is the time to the first event that callers are promised.
	objective = 800 * time.Millisecond
	// callerTimeout is the time after which callers disconnect that have received nothing.
	callerTimeout = 4 * time.Second
)

// simulationResult is what callers and engines observed in a simulation.
type simulationResult struct {
	// waits are the times from arrival of a prompt to its first event, sorted.
	waits []time.Duration
	// refused counts prompts that were refused; they have no wait.
	refused int
	// reread are the tokens of shared segments that were read by engines that had not cached them.
	reread int
}

// late returns the fraction of prompts that waited longer than the objective or were refused.
func (r simulationResult) late() float64 {
	n, _ := slices.BinarySearch(r.waits, objective)

	return 1 - float64(n)/float64(len(r.waits)+r.refused)
}

// engine reads tokensPerMillisecond tokens in a millisecond.
type engine struct {
	busyUntil time.Time
	cached    map[string]bool
}

const tokensPerMillisecond = 40

// warmUp is excluded from results, since the engines' caches are empty at first.
const warmUp = 10 * time.Second

// read returns when a prompt that arrives at a time is read, and how many tokens of its shared
// segments had to be read for it.
func (e *engine) read(now time.Time, p Prompt) (time.Time, int) {
	shared, unread := 0, 0

	for i, segment := range p.Segments {
		if i == len(p.Segments)-1 || !e.cached[segment.ID] {
			unread += segment.Tokens

			if i < len(p.Segments)-1 {
				shared += segment.Tokens
			}
		}

		e.cached[segment.ID] = true
	}

	begin := now
	if e.busyUntil.After(begin) {
		begin = e.busyUntil
	}

	e.busyUntil = begin.Add(time.Duration(unread) * time.Millisecond / tokensPerMillisecond)

	return e.busyUntil, shared
}

// event is an action in a simulation at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (s eventQueue) Len() int           { return len(s) }
func (s eventQueue) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s eventQueue) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)        { *s = append(*s, x.(event)) }

func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]

	return last
}

// run runs the simulation to its end.
func (p simulation) run(t *testing.T) simulationResult {
	t.Helper()

	random := rand.New(rand.NewPCG(p.seed, 1))
	schedulers := make([]*Scheduler, p.instances)
	engines := make(map[fleet.InstanceID]*engine)

	var servers []register.Server

	for i := range p.engines {
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		engines[id] = &engine{cached: make(map[string]bool)}
		servers = append(servers, register.Server{ID: id, Service: "llm", Domain: "a", Slots: 64})
	}

	for i := range schedulers {
		schedulers[i] = &Scheduler{Domain: "a"}
		schedulers[i].Update(servers)
	}

	var (
		events eventQueue
		result simulationResult
	)

	begin := now

	sendUpdate := func(now time.Time, from int) {
		update := schedulers[from].TakeUpdate(now, Upstream)
		if !p.updates {
			return
		}

		heap.Push(&events, event{at: now.Add(p.delay), do: func(now time.Time) {
			for i, other := range schedulers {
				if i != from {
					other.ApplyUpdate(now, fleet.InstanceID(fmt.Sprint("entry-", from)), Peer, update)
				}
			}
		}})
	}

	var place func(now time.Time, from int, arrived time.Time, r Request)

	place = func(now time.Time, from int, arrived time.Time, r Request) {
		a, err := schedulers[from].Pick(now, r)
		if err != nil {
			t.Fatalf("place: got %v, want a server", err)
		}

		if p.holding && a.decide(now, r) == refuse {
			if arrived.Sub(begin) >= warmUp {
				result.refused++
			}

			return
		}

		if p.holding && a.decide(now, r) == hold {
			delay := holdInterval + time.Duration(random.Int64N(int64(holdInterval)))
			heap.Push(&events, event{at: now.Add(delay), do: func(now time.Time) { place(now, from, arrived, r) }})

			return
		}

		a.Start(now)

		read, shared := engines[a.ID()].read(now, r.Prompt)
		if arrived.Sub(begin) >= warmUp {
			result.reread += shared
			result.waits = append(result.waits, read.Sub(arrived))
		}

		sendUpdate(now, from)

		heap.Push(&events, event{at: read, do: func(now time.Time) {
			a.FirstEventReceived(now)
			a.End(now, Served)
			sendUpdate(now, from)
		}})
	}

	at := begin
	for number := 0; at.Before(begin.Add(p.duration)); number++ {
		heap.Push(&events, event{at: at, do: func(now time.Time) {
			from := random.IntN(p.instances)
			r := Request{
				Service: "llm", Prompt: drawPrompt(random, number), Due: now.Add(objective), HoldUntil: now.Add(callerTimeout),
				CallerDeadline: now.Add(callerTimeout),
			}
			place(now, from, now, r)
		}})

		interval := float64(p.interval)
		if since := at.Sub(begin); p.burst > 0 && since >= burstFrom && since < burstFrom+burstFor {
			interval /= p.burst
		}

		at = at.Add(time.Duration(random.ExpFloat64() * interval))
	}

	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		next.do(next.at)
	}

	slices.Sort(result.waits)

	return result
}

// drawPrompt draws a prompt of one of 63 conversations: a long shared segment, and a segment of
// its own whose size varies widely.
func drawPrompt(random *rand.Rand, number int) Prompt {
	conversation := random.IntN(63)
	own := int(2000 * math.Exp(1.1*random.NormFloat64()))
	shared := 4000 + 300*conversation

	return Prompt{Tokens: shared + own, Segments: []Segment{
		{ID: fmt.Sprint("shared-", conversation), Tokens: shared}, {ID: fmt.Sprint("own-", number), Tokens: own},
	}}
}
