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

// play is a load of prompts on engines that several instances place without asking each
// other. Engines read prompts one after the other and keep what they have read.
type simulation struct {
	instances, engines int
	// every is the mean time between two prompts.
	interval time.Duration
	duration time.Duration
	// told tells instances what the others do, late by delay.
	updates bool
	delay   time.Duration
	// holds lets prompts be held back that can't begin in time.
	holding bool
	// burst has prompts come this many times as often from burstFrom on, for burstFor.
	burst float64
	seed  uint64
}

const (
	burstFrom = 14 * time.Second
	burstFor  = 5 * time.Second
	// objective is the time to the first event that callers are promised.
	objective = 800 * time.Millisecond
	// patience is the time after which callers leave that were shown nothing.
	callerTimeout = 4 * time.Second
)

// outcome is what callers and engines saw of a play.
type simulationResult struct {
	// waits are the times from placing a prompt to its first event, in order of size.
	waits []time.Duration
	// refused counts prompts that were sent away; they have no wait.
	refused int
	// again are the tokens of common parts that some engine had read before.
	reread int
}

// late returns the share of prompts that waited for longer than the objective, or were
// refused.
func (o simulationResult) late() float64 {
	n, _ := slices.BinarySearch(o.waits, objective)

	return 1 - float64(n)/float64(len(o.waits)+o.refused)
}

// engine reads 40 tokens in a millisecond.
type engine struct {
	busyUntil time.Time
	cached    map[string]bool
}

const tokensPerMillisecond = 40

// warmUp is left out of outcomes: engines have read nothing at first.
const warmUp = 10 * time.Second

// read returns when a prompt is read that comes at a time, and how many tokens of its
// common part this took.
func (e *engine) read(now time.Time, p Prompt) (time.Time, int) {
	shared, unread := 0, 0

	for i, part := range p.Segments {
		if i == len(p.Segments)-1 || !e.cached[part.ID] {
			unread += part.Tokens

			if i < len(p.Segments)-1 {
				shared += part.Tokens
			}
		}

		e.cached[part.ID] = true
	}

	begin := now
	if e.busyUntil.After(begin) {
		begin = e.busyUntil
	}

	e.busyUntil = begin.Add(time.Duration(unread) * time.Millisecond / tokensPerMillisecond)

	return e.busyUntil, shared
}

// step is something that happens in a play.
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

// run plays the load to its end.
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
		news := schedulers[from].TakeUpdate(now, Upstream)
		if !p.updates {
			return
		}

		heap.Push(&events, event{at: now.Add(p.delay), do: func(now time.Time) {
			for i, other := range schedulers {
				if i != from {
					other.ApplyUpdate(now, fleet.InstanceID(fmt.Sprint("entry-", from)), Peer, news)
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

// drawPrompt draws one of 63 conversations with a long common part, and a part of its
// own whose sizes differ widely.
func drawPrompt(random *rand.Rand, number int) Prompt {
	conversation := random.IntN(63)
	own := int(2000 * math.Exp(1.1*random.NormFloat64()))
	shared := 4000 + 300*conversation

	return Prompt{Tokens: shared + own, Segments: []Segment{
		{ID: fmt.Sprint("shared-", conversation), Tokens: shared}, {ID: fmt.Sprint("own-", number), Tokens: own},
	}}
}
