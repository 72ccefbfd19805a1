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

// sheddingModel is a load of short requests on servers, some of which shed load for a while. Each
// server runs a bounded number of requests at a time; it rejects further ones and requests a
// backoff.
type sheddingModel struct {
	instances, servers int
	// slots is how many requests a server runs and has waiting at the same time.
	slots int
	// serviceTime is how long a request runs.
	serviceTime time.Duration
	// utilization is the mean fraction of all slots that the load needs.
	utilization float64
	// sheddingServers is how many servers reject all requests, from shedFrom for shedFor.
	sheddingServers int
	// finalShare is the fraction of the requests that are sent to one server only.
	finalShare float64
	policy     ResumePolicy
	seed       uint64
}

const (
	shedBackoff   = 3 * time.Second
	shedFrom      = 2 * time.Second
	shedFor       = 9 * time.Second
	modelDuration = 20 * time.Second
	// networkDelay is the time to a server.
	networkDelay = time.Millisecond
)

// sheddingResult is what callers and servers observed.
type sheddingResult struct {
	sent, refused, rejected int
	// worstInBackoff is the largest number of requests that one instance sent to a server between
	// half a second after a rejection and the end of that backoff.
	worstInBackoff int
	// recovery is how long after shedding the servers have received half of a second's usual load.
	recovery time.Duration
	// rejectedAfter is how many requests servers rejected after shedding ended.
	rejectedAfter int
}

// shedServer is a server of the model.
type shedServer struct {
	running  int
	shedding bool
	arrivals []arrival
	refusals []arrival
	accepted int
}

// arrival is a request of an instance that reached a server.
type arrival struct {
	instance int
	at       time.Time
}

// run runs the model to its end.
func (p sheddingModel) run() sheddingResult {
	random := rand.New(rand.NewPCG(p.seed, 2))
	begin := now
	servers := make(map[fleet.InstanceID]*shedServer, p.servers)

	var entries []register.Server

	for i := range p.servers {
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		servers[id] = &shedServer{shedding: i < p.sheddingServers}
		entries = append(entries, register.Server{ID: id, Service: "api", Domain: "a", Slots: p.slots})
	}

	schedulers := make([]*Scheduler, p.instances)
	for i := range schedulers {
		schedulers[i] = &Scheduler{Domain: "a", Resume: p.policy}
		schedulers[i].Update(entries)
	}

	var (
		events eventQueue
		result sheddingResult
		send   func(at time.Time, from int, r Request)
	)

	send = func(at time.Time, from int, r Request) {
		a, err := schedulers[from].Pick(at, r)
		if errors.Is(err, ErrNoServer) || !a.Start(at) {
			result.refused++

			return
		}

		s := servers[a.ID()]

		heap.Push(&events, event{at: at.Add(networkDelay), do: func(at time.Time) {
			sent := arrival{instance: from, at: at}
			s.arrivals = append(s.arrivals, sent)
			since := at.Sub(begin)
			shed := s.shedding && since >= shedFrom && since < shedFrom+shedFor

			if !shed && s.running < p.slots {
				s.running++
				s.accepted++
				a.Accepted()
				heap.Push(&events, event{at: at.Add(p.serviceTime), do: func(at time.Time) {
					s.running--
					schedulers[from].RecordLoad(at, a.ID(), Load{Running: s.running, Slots: p.slots})
					a.End(at, Served)
				}})

				return
			}

			s.refusals = append(s.refusals, sent)
			result.rejected++

			if since >= shedFrom+shedFor {
				result.rejectedAfter++
			}

			a.AnnouncedBackoff(at, shedBackoff)
			a.End(at, Rejected)

			if r.Final {
				result.refused++

				return
			}

			send(at, from, Request{Service: "api", Excluded: []fleet.InstanceID{a.ID()}, Final: true, allowTrial: r.allowTrial})
		}})
	}

	interval := float64(p.serviceTime) / (p.utilization * float64(p.servers*p.slots))
	for at := begin; at.Before(begin.Add(modelDuration)); at = at.Add(time.Duration(random.ExpFloat64() * interval)) {
		heap.Push(&events, event{at: at, do: func(at time.Time) {
			result.sent++
			send(at, random.IntN(p.instances), Request{Service: "api", Final: random.Float64() < p.finalShare})
		}})
	}

	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		next.do(next.at)
	}

	p.addServerResults(begin, servers, &result)

	return result
}

// addServerResults adds what the servers observed to the result.
func (p sheddingModel) addServerResults(begin time.Time, servers map[fleet.InstanceID]*shedServer, out *sheddingResult) {
	usual := p.utilization * float64(p.slots) / p.serviceTime.Seconds()
	ended := begin.Add(shedFrom + shedFor)

	for _, s := range servers {
		if !s.shedding {
			continue
		}

		for _, refusal := range s.refusals {
			n := 0

			for _, arrived := range s.arrivals {
				if since := arrived.at.Sub(refusal.at); arrived.instance == refusal.instance && since > shedBackoff/6 && since < shedBackoff {
					n++
				}
			}

			out.worstInBackoff = max(out.worstInBackoff, n)
		}

		seen := 0.0

		for _, arrived := range s.arrivals {
			if arrived.at.After(ended) {
				seen++
			}

			if seen >= usual/2 {
				out.recovery = max(out.recovery, arrived.at.Sub(ended))

				break
			}
		}
	}
}

// runSeeds runs the model with several seeds and combines the results.
func (p sheddingModel) runSeeds(policy ResumePolicy, seeds uint64) sheddingResult {
	var sum sheddingResult

	for seed := range seeds {
		p.policy, p.seed = policy, seed

		result := p.run()
		sum.sent += result.sent
		sum.refused += result.refused
		sum.rejected += result.rejected
		sum.rejectedAfter += result.rejectedAfter
		sum.worstInBackoff = max(sum.worstInBackoff, result.worstInBackoff)
		sum.recovery = max(sum.recovery, result.recovery)
	}

	return sum
}

// Guards against all instances resuming at the same time when a server's backoff ends, and
// against refusing callers whose requests were used as trials. WAYS=all also runs larger numbers
// of instances and other policies.
func TestDefaultResumePolicyRefusesFewerCallers(t *testing.T) {
	loads := []sheddingModel{
		{instances: 9, servers: 10, sheddingServers: 3, utilization: 0.5},
		{instances: 9, servers: 10, sheddingServers: 3, utilization: 0.65},
		{instances: 9, servers: 10, utilization: 0.9},
	}
	policies := map[string]ResumePolicy{"at backoff end": {}, "default": DefaultResumePolicy}

	if os.Getenv("WAYS") == "all" {
		loads = append(loads, sheddingModel{instances: 80, servers: 60, sheddingServers: 10, utilization: 0.5}, sheddingModel{instances: 195, servers: 78, sheddingServers: 15, utilization: 0.5},
			sheddingModel{instances: 195, servers: 78, utilization: 0.9}, sheddingModel{instances: 410, servers: 300, sheddingServers: 50, utilization: 0.5})
		policies["jitter"] = ResumePolicy{Jitter: 0.2}
		policies["half-open"] = ResumePolicy{HalfOpen: true}
		policies["jitter, half-open"] = ResumePolicy{Jitter: 0.2, HalfOpen: true}
		policies["jitter, final delay"] = ResumePolicy{Jitter: 0.2, FinalDelay: time.Second}
	}

	const seeds = 2

	for _, load := range loads {
		load.slots, load.serviceTime, load.finalShare = 16, 400*time.Millisecond, 0.5

		got := make(map[string]sheddingResult, len(policies))
		for name, policy := range policies {
			got[name] = load.runSeeds(policy, seeds)
			t.Logf("%d instances, %d of %d servers, load %.2f, %s: %+v", load.instances, load.sheddingServers, load.servers, load.utilization, name, got[name])
		}

		if byDefault, together := got["default"], got["at backoff end"]; byDefault.refused >= together.refused || byDefault.worstInBackoff > 2 {
			t.Errorf("%d instances, load %.2f: got %+v, want fewer refused than %+v, and at most 2 within a backoff",
				load.instances, load.utilization, byDefault, together)
		}
	}
}
