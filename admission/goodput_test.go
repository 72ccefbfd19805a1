package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
)

const (
	simSlots    = 20
	simService  = 100 * time.Millisecond
	simDeadline = time.Second
	simTime     = 20 * time.Second
	// simCapacity is what the simulated service can do, in requests a second.
	simCapacity = float64(simSlots) / 0.1
	simLarge    = 2
	simSmall    = 3
	// simSmallPart is the part of the load that one small account offers.
	simSmallPart = 1.0 / 30
)

// simRequest is one request of the simulation.
type simRequest struct {
	ticket   *Ticket
	deadline time.Time
	small    bool
	ends     time.Time
}

// simulation offers load to a controller in front of one service.
type simulation struct {
	c        *Controller
	random   *rand.Rand
	now      time.Time
	useLimit bool
	waiting  []*simRequest
	running  []*simRequest
	offered  [2]int
	inTime   [2]int
	ran      int
	maxWait  time.Duration
}

// simResult is what the simulation measured.
type simResult struct {
	goodput   float64
	smallPart float64
	wasted    float64
	maxWait   time.Duration
}

func (r simResult) log(t *testing.T, times float64, policy string) {
	t.Helper()
	t.Logf("%.0fx    %s    %.3f    %.3f          %.3f        %v",
		times, policy, r.goodput, r.smallPart, r.wasted, r.maxWait)
}

func newSimulation(t *testing.T, fair bool) *simulation {
	t.Helper()

	s := &simulation{now: start, useLimit: fair, random: rand.New(rand.NewPCG(1, 2))}
	config := testConfig(simSlots, 256)

	for i := range simLarge + simSmall {
		config.Accounts = append(config.Accounts, AccountConfig{Account: modelAccount(i)})
	}

	s.c = &Controller{}
	if !fair {
		s.c.newQueue = func() queue { return &fifoQueue{} }
	}

	if err := s.c.Configure(start, config); err != nil {
		t.Fatal(err)
	}

	return s
}

func (s *simulation) arrive() {
	account, small := s.random.IntN(simLarge), 0

	if p := s.random.Float64(); p < simSmall*simSmallPart {
		account, small = simLarge+s.random.IntN(simSmall), 1
	}

	r := &simRequest{deadline: s.now.Add(simDeadline), small: small == 1}
	request := Request{Service: testService, Account: modelAccount(account), Kind: testKind, Priority: fleet.Priority(0)}

	if s.useLimit {
		request.Deadline = r.deadline
	}

	r.ticket = s.c.Admit(s.now, request)
	s.offered[small]++
	s.waiting = append(s.waiting, r)
}

// start moves admitted requests to the service and drops refused ones.
func (s *simulation) start() {
	var waiting []*simRequest

	for _, r := range s.waiting {
		d, final := r.ticket.Decision()

		switch {
		case !final:
			waiting = append(waiting, r)
		case d.Verdict == Admitted:
			s.ran++
			r.ends = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(simService)))
			s.running = append(s.running, r)
		default:
			s.maxWait = max(s.maxWait, d.Waited)
		}
	}

	s.waiting = waiting
}

func (s *simulation) finish() {
	var running []*simRequest

	for _, r := range s.running {
		if r.ends.After(s.now) {
			running = append(running, r)

			continue
		}

		took := s.now.Sub(r.ticket.Arrived())
		s.c.Finish(s.now, r.ticket, Outcome{Latency: took, Duration: took})

		if !s.now.After(r.deadline) {
			small := 0
			if r.small {
				small = 1
			}

			s.inTime[small]++
		}
	}

	s.running = running
}

func (s *simulation) run(times float64) simResult {
	const step = time.Millisecond

	rate := times * simCapacity
	next := start

	for s.now.Sub(start) < simTime {
		for !next.After(s.now) {
			s.arrive()
			next = next.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		}

		s.finish()
		s.c.Tick(s.now)
		s.start()
		s.now = s.now.Add(step)
	}

	good := float64(s.inTime[0] + s.inTime[1])

	return simResult{
		goodput:   good / simTime.Seconds() / simCapacity,
		smallPart: float64(s.inTime[1]) / float64(s.offered[1]),
		wasted:    1 - good/float64(s.ran),
		maxWait:   s.maxWait,
	}
}

// TestGoodput compares the policies at one, two and five times the capacity.
func TestGoodput(t *testing.T) {
	tests := []struct {
		times       float64
		wantGoodput float64
		wantSmall   float64
	}{
		{times: 1, wantGoodput: 0.9, wantSmall: 0.95},
		{times: 2, wantGoodput: 0.9, wantSmall: 0.95},
		{times: 5, wantGoodput: 0.9, wantSmall: 0.95},
	}

	t.Log("load  policy  goodput  small in time  work wasted  longest wait for a refusal")

	for _, tt := range tests {
		t.Run(fmt.Sprintf("%.0f times capacity", tt.times), func(t *testing.T) {
			fifo := newSimulation(t, false).run(tt.times)
			fair := newSimulation(t, true).run(tt.times)

			fifo.log(t, tt.times, "fifo")
			fair.log(t, tt.times, "fair")

			if fair.goodput < tt.wantGoodput {
				t.Errorf("goodput: got %.3f of capacity, want at least %.2f", fair.goodput, tt.wantGoodput)
			}

			if fair.smallPart < tt.wantSmall {
				t.Errorf("small accounts in time: got %.3f, want at least %.2f", fair.smallPart, tt.wantSmall)
			}

			if tt.times > 1 && fair.goodput <= fifo.goodput {
				t.Errorf("goodput: got %.3f, want more than the baseline's %.3f", fair.goodput, fifo.goodput)
			}
		})
	}
}
