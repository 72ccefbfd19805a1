package scheduling

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// shedding is a load of short requests on servers some of which shed it for a while. Each
// server runs a bounded number at once; one that has more turns them away, and asks for
// backoff.
type shedding struct {
	instances, servers int
	// places is how many requests a server runs and has waiting at once.
	places int
	// work is how long a request runs.
	work time.Duration
	// load is the part of all places that is wanted on the mean.
	load float64
	// sheds is how many servers turn everything away, from shedFrom for shedFor.
	sheds int
	// final is the part of the requests that are sent to one server only.
	final  float64
	policy ResumePolicy
	seed   uint64
}

const (
	shedBackoff = 3 * time.Second
	shedFrom    = 2 * time.Second
	shedFor     = 9 * time.Second
	shedSpan    = 20 * time.Second
	// wayThere is the time to a server.
	wayThere = time.Millisecond
)

// shedOutcome is what callers and servers saw.
type shedOutcome struct {
	sent, refused, turnedAway int
	// worst is the most requests of an instance at a server from half a second after it was
	// turned away to the end of that backoff.
	worst int
	// back is how long after shedding the servers have half of their usual load again.
	back time.Duration
	// again is how many requests servers turned away after they shed.
	again int
}

// shedServer is a server of the model.
type shedServer struct {
	running  int
	sheds    bool
	arrivals []sentBy
	refusals []sentBy
	accepted int
}

// sentBy is a request of an instance.
type sentBy struct {
	instance int
	at       time.Time
}

// run plays the load to its end.
func (p shedding) run() shedOutcome {
	random := rand.New(rand.NewPCG(p.seed, 2))
	begin := now
	servers := make(map[fleet.InstanceID]*shedServer, p.servers)

	var entries []register.Server

	for i := range p.servers {
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		servers[id] = &shedServer{sheds: i < p.sheds}
		entries = append(entries, register.Server{ID: id, Service: "api", Domain: "a", Slots: p.places})
	}

	schedulers := make([]*Scheduler, p.instances)
	for i := range schedulers {
		schedulers[i] = &Scheduler{Domain: "a", Resume: p.policy}
		schedulers[i].Update(entries)
	}

	var (
		steps playSteps
		out   shedOutcome
		send  func(at time.Time, from int, r Request)
	)

	send = func(at time.Time, from int, r Request) {
		a, err := schedulers[from].Pick(at, r)
		if errors.Is(err, ErrNoServer) || !a.Start(at) {
			out.refused++

			return
		}

		s := servers[a.ID()]

		heap.Push(&steps, playStep{at: at.Add(wayThere), do: func(at time.Time) {
			one := sentBy{instance: from, at: at}
			s.arrivals = append(s.arrivals, one)
			since := at.Sub(begin)
			shed := s.sheds && since >= shedFrom && since < shedFrom+shedFor

			if !shed && s.running < p.places {
				s.running++
				s.accepted++
				a.Accepted()
				heap.Push(&steps, playStep{at: at.Add(p.work), do: func(at time.Time) {
					s.running--
					schedulers[from].RecordLoad(at, a.ID(), Load{Running: s.running, Slots: p.places})
					a.End(at, Served)
				}})

				return
			}

			s.refusals = append(s.refusals, one)
			out.turnedAway++

			if since >= shedFrom+shedFor {
				out.again++
			}

			a.AnnouncedBackoff(at, shedBackoff)
			a.End(at, Rejected)

			if r.Final {
				out.refused++

				return
			}

			send(at, from, Request{Service: "api", Excluded: []fleet.InstanceID{a.ID()}, Final: true, allowTrial: r.allowTrial})
		}})
	}

	every := float64(p.work) / (p.load * float64(p.servers*p.places))
	for at := begin; at.Before(begin.Add(shedSpan)); at = at.Add(time.Duration(random.ExpFloat64() * every)) {
		heap.Push(&steps, playStep{at: at, do: func(at time.Time) {
			out.sent++
			send(at, random.IntN(p.instances), Request{Service: "api", Final: random.Float64() < p.final})
		}})
	}

	for steps.Len() > 0 {
		next := heap.Pop(&steps).(playStep)
		next.do(next.at)
	}

	p.judge(begin, servers, &out)

	return out
}

// judge adds what servers saw.
func (p shedding) judge(begin time.Time, servers map[fleet.InstanceID]*shedServer, out *shedOutcome) {
	usual := p.load * float64(p.places) / p.work.Seconds()
	ended := begin.Add(shedFrom + shedFor)

	for _, s := range servers {
		if !s.sheds {
			continue
		}

		for _, refusal := range s.refusals {
			n := 0

			for _, one := range s.arrivals {
				if since := one.at.Sub(refusal.at); one.instance == refusal.instance && since > shedBackoff/6 && since < shedBackoff {
					n++
				}
			}

			out.worst = max(out.worst, n)
		}

		seen := 0.0

		for _, one := range s.arrivals {
			if one.at.After(ended) {
				seen++
			}

			if seen >= usual/2 {
				out.back = max(out.back, one.at.Sub(ended))

				break
			}
		}
	}
}

// returning plays a load for some seeds and adds up what comes of it.
func (p shedding) returning(policy ResumePolicy, seeds uint64) shedOutcome {
	var sum shedOutcome

	for seed := range seeds {
		p.policy, p.seed = policy, seed

		one := p.run()
		sum.sent += one.sent
		sum.refused += one.refused
		sum.turnedAway += one.turnedAway
		sum.again += one.again
		sum.worst = max(sum.worst, one.worst)
		sum.back = max(sum.back, one.back)
	}

	return sum
}

// Guards against instances that return to a server all at once when its backoff ends, and
// against callers who are refused to find out whether it takes requests again. WAYS=all also
// plays many instances and other ways.
func TestFewerCallersAreRefusedWhereInstancesReturnApart(t *testing.T) {
	loads := []shedding{
		{instances: 9, servers: 10, sheds: 3, load: 0.5},
		{instances: 9, servers: 10, sheds: 3, load: 0.65},
		{instances: 9, servers: 10, load: 0.9},
	}
	ways := map[string]ResumePolicy{"all at its end": {}, "default": DefaultResumePolicy}

	if os.Getenv("WAYS") == "all" {
		loads = append(loads, shedding{instances: 80, servers: 60, sheds: 10, load: 0.5}, shedding{instances: 195, servers: 78, sheds: 15, load: 0.5},
			shedding{instances: 195, servers: 78, load: 0.9}, shedding{instances: 410, servers: 300, sheds: 50, load: 0.5})
		ways["spread"] = ResumePolicy{Jitter: 0.2}
		ways["half-open"] = ResumePolicy{HalfOpen: true}
		ways["spread, half-open"] = ResumePolicy{Jitter: 0.2, HalfOpen: true}
		ways["spread, spared"] = ResumePolicy{Jitter: 0.2, FinalDelay: time.Second}
	}

	const seeds = 2

	for _, load := range loads {
		load.places, load.work, load.final = 16, 400*time.Millisecond, 0.5

		got := make(map[string]shedOutcome, len(ways))
		for name, policy := range ways {
			got[name] = load.returning(policy, seeds)
			t.Logf("%d instances, %d of %d servers, load %.2f, %s: %+v", load.instances, load.sheds, load.servers, load.load, name, got[name])
		}

		if one, all := got["default"], got["all at its end"]; one.refused >= all.refused || one.worst > 2 {
			t.Errorf("%d instances, load %.2f: got %+v, want fewer refused than %+v, and at most 2 within a backoff",
				load.instances, load.load, one, all)
		}
	}
}
