package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlever/fleet"
)

const (
	simSlots           = 20
	simMeanServiceTime = 100 * time.Millisecond
	simDeadline        = time.Second
	simDuration        = 20 * time.Second
	// simCapacity is the capacity of the simulated service, in requests per second.
	simCapacity      = float64(simSlots) / 0.1
	simLargeAccounts = 2
	simSmallAccounts = 3
	// simSmallLoadFraction is the fraction of the load that each small account offers.
	simSmallLoadFraction = 1.0 / 30
)

type simRequest struct {
	ticket   *Ticket
	deadline time.Time
	small    bool
	endsAt   time.Time
}

// simulation offers load to a controller in front of one service.
type simulation struct {
	controller     *Controller
	random         *rand.Rand
	now            time.Time
	setDeadlines   bool
	waiting        []*simRequest
	running        []*simRequest
	offered        [2]int
	inTime         [2]int
	admitted       int
	maxRefusalWait time.Duration
}

// simResult holds the measurements of a simulation.
type simResult struct {
	goodput        float64
	smallInTime    float64
	wastedFraction float64
	maxRefusalWait time.Duration
}

func (r simResult) log(t *testing.T, loadFactor float64, policy string) {
	t.Helper()
	t.Logf("%.0fx    %s    %.3f    %.3f          %.3f        %v",
		loadFactor, policy, r.goodput, r.smallInTime, r.wastedFraction, r.maxRefusalWait)
}

func newSimulation(t *testing.T, fair bool) *simulation {
	t.Helper()

	s := &simulation{now: start, setDeadlines: fair, random: rand.New(rand.NewPCG(1, 2))}
	config := testConfig(simSlots, 256)

	for i := range simLargeAccounts + simSmallAccounts {
		config.Accounts = append(config.Accounts, AccountConfig{Account: accountName(i)})
	}

	s.controller = &Controller{}
	if !fair {
		s.controller.newQueue = func() queue { return &fifoQueue{} }
	}

	if err := s.controller.Configure(start, config); err != nil {
		t.Fatal(err)
	}

	return s
}

func (s *simulation) arrive() {
	account, small := s.random.IntN(simLargeAccounts), 0

	if p := s.random.Float64(); p < simSmallAccounts*simSmallLoadFraction {
		account, small = simLargeAccounts+s.random.IntN(simSmallAccounts), 1
	}

	r := &simRequest{deadline: s.now.Add(simDeadline), small: small == 1}
	request := Request{Service: testService, Account: accountName(account), Kind: testKind, Priority: fleet.Priority(0)}

	if s.setDeadlines {
		request.Deadline = r.deadline
	}

	r.ticket = s.controller.Admit(s.now, request)
	s.offered[small]++
	s.waiting = append(s.waiting, r)
}

// startAdmitted starts admitted requests at the service and drops refused ones.
func (s *simulation) startAdmitted() {
	var waiting []*simRequest

	for _, r := range s.waiting {
		d, final := r.ticket.Decision()

		switch {
		case !final:
			waiting = append(waiting, r)
		case d.Verdict == Admitted:
			s.admitted++
			r.endsAt = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(simMeanServiceTime)))
			s.running = append(s.running, r)
		default:
			s.maxRefusalWait = max(s.maxRefusalWait, d.Waited)
		}
	}

	s.waiting = waiting
}

func (s *simulation) finishEnded() {
	var running []*simRequest

	for _, r := range s.running {
		if r.endsAt.After(s.now) {
			running = append(running, r)

			continue
		}

		took := s.now.Sub(r.ticket.Arrived())
		s.controller.Finish(s.now, r.ticket, Outcome{Latency: took, Duration: took})

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

func (s *simulation) run(loadFactor float64) simResult {
	const step = time.Millisecond

	rate := loadFactor * simCapacity
	next := start

	for s.now.Sub(start) < simDuration {
		for !next.After(s.now) {
			s.arrive()
			next = next.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		}

		s.finishEnded()
		s.controller.Tick(s.now)
		s.startAdmitted()
		s.now = s.now.Add(step)
	}

	good := float64(s.inTime[0] + s.inTime[1])

	return simResult{
		goodput:        good / simDuration.Seconds() / simCapacity,
		smallInTime:    float64(s.inTime[1]) / float64(s.offered[1]),
		wastedFraction: 1 - good/float64(s.admitted),
		maxRefusalWait: s.maxRefusalWait,
	}
}

// TestGoodput compares fair queueing with FIFO at one, two and five times the capacity.
func TestGoodput(t *testing.T) {
	tests := []struct {
		loadFactor      float64
		wantGoodput     float64
		wantSmallInTime float64
	}{
		{loadFactor: 1, wantGoodput: 0.9, wantSmallInTime: 0.95},
		{loadFactor: 2, wantGoodput: 0.9, wantSmallInTime: 0.95},
		{loadFactor: 5, wantGoodput: 0.9, wantSmallInTime: 0.95},
	}

	t.Log("load  policy  goodput  small in time  work wasted  longest wait for a refusal")

	for _, tt := range tests {
		t.Run(fmt.Sprintf("%.0f times capacity", tt.loadFactor), func(t *testing.T) {
			fifo := newSimulation(t, false).run(tt.loadFactor)
			fair := newSimulation(t, true).run(tt.loadFactor)

			fifo.log(t, tt.loadFactor, "fifo")
			fair.log(t, tt.loadFactor, "fair")

			if fair.goodput < tt.wantGoodput {
				t.Errorf("goodput: got %.3f of capacity, want at least %.2f", fair.goodput, tt.wantGoodput)
			}

			if fair.smallInTime < tt.wantSmallInTime {
				t.Errorf("small accounts in time: got %.3f, want at least %.2f", fair.smallInTime, tt.wantSmallInTime)
			}

			if tt.loadFactor > 1 && fair.goodput <= fifo.goodput {
				t.Errorf("goodput: got %.3f, want more than the baseline's %.3f", fair.goodput, fifo.goodput)
			}
		})
	}
}
