package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

const (
	service fleet.Service = "llm"
	target  fleet.Version = "v2"
	before  fleet.Version = "v1"

	stepInterval = 100 * time.Millisecond
	// planInterval is the time between two steps of the duty holder.
	planInterval = 400 * time.Millisecond
	// answerTime is how long a server takes to answer.
	answerTime = 100 * time.Millisecond
)

var (
	begin  = time.Unix(1000, 0)
	policy = Policy{Share: 0.1, Slack: 50, StopTimeout: 5 * time.Second}
)

// defect describes a bad version: the fraction of its answers that fail or are slow, from a
// time on, on one route or on all, and only above a share of the traffic.
type defect struct {
	rate        float64
	slow        bool
	startsAfter time.Duration
	route       string
	// minShare is the share of the traffic from which on the defect shows.
	minShare float64
}

// simulation is a service whose instances roll out a version.
type simulation struct {
	random      *rand.Rand
	now         time.Time
	order       Order
	defect      defect
	rate        float64
	lossRate    float64
	countDelay  time.Duration
	gates       []*Gate
	counters    []*Counter
	partitioned map[int]bool

	table   Table
	planner *Planner
	fence   uint64
	// The duty holder is paused until frozenUntil, and there is no holder until
	// holderlessUntil.
	frozenUntil, holderlessUntil time.Time
	completed                    bool

	answers []pendingAnswer
	updates []pendingUpdate
	// reached and exposed count the requests until the deadline, of the service and of the new
	// version; bad holds the times of bad answers. late counts the requests sent to the new
	// version later than StopTimeout after the fiftieth bad answer.
	reached, exposed, late int
	bad                    []time.Time
	// lastExposed is the fraction of the last step's requests that the new version received.
	lastExposed float64
}

type pendingAnswer struct {
	at                 time.Time
	instance           int
	route              string
	tried, failed, bad bool
	took               time.Duration
}

type pendingUpdate struct {
	at        time.Time
	instance  int
	state     State
	decidedAt time.Time
}

func newSimulation(seed uint64, n int, rate float64, span time.Duration, f defect) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: begin, defect: f, rate: rate, partitioned: make(map[int]bool),
		order: Order{Service: service, Target: target, Duration: span, Place: 7}, fence: 1,
		countDelay: max(time.Duration(n)*6*time.Millisecond, 150*time.Millisecond),
	}

	for range n {
		g := &Gate{GrantTTL: policy.GrantTTL(), Random: w.random.Float64}
		g.AddOrder(begin, w.order)
		w.gates = append(w.gates, g)
		w.counters = append(w.counters, &Counter{})
	}

	w.planner = &Planner{Policy: policy, Order: w.order, FirstSeen: begin}

	return w
}

func (w *simulation) deadline() time.Time { return begin.Add(w.order.Duration) }

// step simulates one step.
func (w *simulation) step(t fataler) {
	w.now = w.now.Add(stepInterval)
	w.send()
	w.answer()
	w.reportCounts()
	w.plan()
	w.deliverUpdates()

	if !w.now.After(w.deadline()) {
		if most := policy.Share*float64(w.reached) + policy.Slack; float64(w.exposed) > most {
			t.Fatalf("%v after the order: got %d of %d requests at the new version, want at most %.0f",
				w.now.Sub(begin), w.exposed, w.reached, most)
		}
	}
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// send sends the requests of a step at random instances.
func (w *simulation) send() {
	tried, all := 0, 0

	for left := w.rate * stepInterval.Seconds(); left > 0 && w.random.Float64() < left; left-- {
		i := w.random.IntN(len(w.gates))
		route := fmt.Sprint("r", w.random.IntN(5))
		choice := w.gates[i].Choose(w.now, service)
		isNew := choice.Only == target || w.completed && w.gates[i].states()[0].Phase == Completed
		all++

		if isNew {
			tried++
		}

		w.counters[i].CountSent(service, w.order.Place, route, isNew)
		w.serve(i, route, isNew)
	}

	if all > 0 {
		w.lastExposed = float64(tried) / float64(all)
	}

	if w.now.Before(w.deadline()) {
		w.reached += all
		w.exposed += tried
	}

	if n := 50; tried > 0 && len(w.bad) >= n && w.now.Sub(w.bad[n-1]) > policy.StopTimeout {
		w.late += tried
	}
}

func (g *Gate) states() []State { return append(g.States(), State{}) }

func (w *simulation) serve(i int, route string, isNew bool) {
	took := time.Duration(float64(answerTime) * (0.7 + 0.6*w.random.Float64()))
	answer := pendingAnswer{at: w.now.Add(answerTime), instance: i, route: route, tried: isNew, took: took}
	// Route r0 fails at times on every version, and the caches of the new version are cold at
	// first.
	answer.failed = route == "r0" && w.random.Float64() < 0.14

	if isNew && w.random.Float64() < 0.3 {
		answer.took *= 2
	}

	shows := w.defect.rate > 0 && (w.defect.route == "" || w.defect.route == route) &&
		w.now.Sub(begin) >= w.defect.startsAfter && w.lastExposed >= w.defect.minShare

	if isNew && shows && w.random.Float64() < w.defect.rate {
		answer.bad = true

		if w.defect.slow {
			answer.took *= 8
		} else {
			answer.failed = true
		}
	}

	w.answers = append(w.answers, answer)
}

func (w *simulation) answer() {
	kept := w.answers[:0]

	for _, answer := range w.answers {
		if answer.at.After(w.now) {
			kept = append(kept, answer)

			continue
		}

		w.counters[answer.instance].CountAnswer(service, w.order.Place, answer.route, answer.tried, answer.failed, answer.took)

		if answer.bad {
			w.bad = append(w.bad, answer.at)
		}
	}

	w.answers = kept
}

// reportCounts sends the counts of a random part of the instances to the duty holder.
func (w *simulation) reportCounts() {
	for i, c := range w.counters {
		due := w.random.Float64() < stepInterval.Seconds()/w.countDelay.Seconds()
		if due && !w.partitioned[i] && w.random.Float64() >= w.lossRate {
			w.table.Record(fleet.InstanceID(fmt.Sprint("entry-", i)), 1, c.Counts())
		}
	}
}

// plan runs a step of the duty holder and sends its decision to all instances.
func (w *simulation) plan() {
	if w.now.Sub(begin)%planInterval != 0 || w.now.Before(w.frozenUntil) || w.now.Before(w.holderlessUntil) {
		return
	}

	s, complete := w.planner.Step(w.now, w.fence, Observation{
		Routes: w.table.Routes(w.order), OldServers: 30, NewServers: 30, CountDelay: w.countDelay + stepInterval,
	})

	if complete {
		w.planner.MarkCompleted([]fleet.Version{before})
		w.completed = true
		s, _ = w.planner.Step(w.now, w.fence, Observation{Routes: w.table.Routes(w.order), OldServers: 30, NewServers: 30, CountDelay: w.countDelay})
	}

	for i := range w.gates {
		if !w.partitioned[i] && w.random.Float64() >= w.lossRate {
			delay := stepInterval + time.Duration(w.random.Float64()*float64(w.countDelay))
			w.updates = append(w.updates, pendingUpdate{at: w.now.Add(delay), instance: i, state: s, decidedAt: w.now})
		}
	}
}

// deliverUpdates delivers due messages, which may arrive out of order.
func (w *simulation) deliverUpdates() {
	kept := w.updates[:0]

	for _, update := range w.updates {
		if update.at.After(w.now) {
			kept = append(kept, update)

			continue
		}

		w.gates[update.instance].Apply(w.now, update.state, update.decidedAt)
	}

	w.updates = kept
}

// replaceHolder moves the duty to another instance, which resumes from the recorded state.
func (w *simulation) replaceHolder(after time.Duration) {
	w.fence++
	w.holderlessUntil = w.now.Add(after)
	recorded := w.planner.state
	w.planner = &Planner{Policy: policy, Order: w.order, FirstSeen: begin}
	w.planner.Resume(recorded)
}

// Guards against a bad version that exceeds its budget, or receives requests later than
// StopTimeout after its fiftieth bad answer. The defect may show at any time, while messages
// are lost or delayed, instances are partitioned, and the duty holder is lost or paused.
func TestHoldsBadVersionWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 9, 80, 195, 410}).Draw(t, "instances")
		rate := float64(rapid.SampledFrom([]int{5, 50, 400}).Draw(t, "requests a second"))
		span := time.Duration(rapid.SampledFrom([]int{6, 12, 30}).Draw(t, "duration")) * time.Second
		f := defect{
			rate: rapid.SampledFrom([]float64{0, 0.2, 0.5, 1}).Draw(t, "defect"),
			slow: rapid.Bool().Draw(t, "slow"), startsAfter: time.Duration(rapid.IntRange(0, 30).Draw(t, "after")) * time.Second,
			minShare: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "min share"),
		}

		if rapid.Bool().Draw(t, "one route") {
			f.route = "r3"
		}

		w := newSimulation(rapid.Uint64().Draw(t, "seed"), n, rate, span, f)
		w.lossRate = rapid.SampledFrom([]float64{0, 0.03, 0.3}).Draw(t, "loss")
		faultAt := begin.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "fault at")) * time.Second)
		fault := rapid.IntRange(0, 3).Draw(t, "fault")

		for !w.now.After(w.deadline().Add(8 * time.Second)) {
			if w.now.Equal(faultAt) {
				switch fault {
				case 1:
					w.replaceHolder(time.Duration(rapid.IntRange(1, 6).Draw(t, "without a holder")) * time.Second)
				case 2:
					w.frozenUntil = w.now.Add(3 * time.Second)
				case 3:
					for i := range w.gates {
						w.partitioned[i] = rapid.IntRange(0, 3).Draw(t, "partitioned") == 0
					}
				}
			}

			w.step(t)

			if w.completed {
				// After the deadline, the version's answers are outside the roll-out's
				// control.
				if w.now.After(w.deadline()) {
					break
				}

				continue
			}

			if w.late > 0 {
				t.Fatalf("%v after the order: got %d requests sent later than %v after the fiftieth bad answer, want none",
					w.now.Sub(begin), w.late, policy.StopTimeout)
			}
		}
	})
}

// versions returns the versions under test and the phase that each must reach by its deadline.
func versions() map[string]struct {
	flaw defect
	want Phase
} {
	return map[string]struct {
		flaw defect
		want Phase
	}{
		"good":               {want: Completed},
		"fails at once":      {flaw: defect{rate: 0.4}, want: Reverted},
		"fails in part":      {flaw: defect{rate: 0.2}, want: Reverted},
		"fails later":        {flaw: defect{rate: 0.4, startsAfter: 8 * time.Second}, want: Reverted},
		"fails on one route": {flaw: defect{rate: 0.5, route: "r3"}, want: Reverted},
		"slow":               {flaw: defect{rate: 0.6, slow: true}, want: Reverted},
		"slow on one route":  {flaw: defect{rate: 0.8, slow: true, route: "r2"}, want: Reverted},
		"fails under load":   {flaw: defect{rate: 0.5, minShare: 0.005}, want: Reverted},
	}
}

// A good version must be completed by its deadline, even with a route that fails at times on
// every version and cold caches; a bad version must be reverted.
func TestVersionIsDecidedByDeadline(t *testing.T) {
	for name, tt := range versions() {
		for _, n := range []int{9, 80, 195, 410} {
			for seed := range uint64(3) {
				w := newSimulation(seed, n, 400, 20*time.Second, tt.flaw)
				w.lossRate = 0.03

				for !w.now.After(w.deadline()) {
					w.step(t)
				}

				if got := w.planner.state.Phase; got != tt.want {
					t.Errorf("%s, %d instances, seed %d: got %v (%s), want %v", name, n, seed, got, w.planner.Reason(), tt.want)
				}
			}
		}
	}
}

// A version that fails on every route must be reverted although each route has few answers:
// the evidence of all routes is combined.
func TestVersionFailingOnAllRoutesIsReverted(t *testing.T) {
	for seed := range uint64(12) {
		w := newSimulation(seed, 410, 400, 20*time.Second, defect{rate: 0.2})
		w.lossRate = 0.03

		for !w.now.After(w.deadline()) {
			w.step(t)
		}

		if got := w.planner.state.Phase; got != Reverted {
			t.Errorf("seed %d: got %v (%s), want %v", seed, got, w.planner.Reason(), Reverted)
		}
	}
}
