package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonlever/fleet"
)

// callKind is a kind of requests of an account.
type callKind struct {
	share    float64
	mean     float64
	priority int
	worth    float64
	// deadline is the time that a caller has for the request. It honours a Retry-After up to a
	// third of what is left of it, and returns once.
	deadline time.Duration
}

// callKinds are questions, chats and drafts: short urgent requests beside long ones.
var callKinds = []callKind{
	{share: 0.6, mean: 628, priority: 0, worth: 2, deadline: 500 * time.Millisecond},
	{share: 0.2, mean: 1500, priority: 1, worth: 1, deadline: 2 * time.Second},
	{share: 0.2, mean: 6610, priority: 2, worth: 1, deadline: 8 * time.Second},
}

const (
	largestCall = 54_600
	// hotSince and hotUntil bound the time in which the account sends hotFactor times its usual.
	hotSince, hotUntil = 4 * time.Second, 10 * time.Second
	hotFactor          = 6
	callsEnd           = 16 * time.Second
)

// call is a request, and its return after a refusal.
type call struct {
	account   fleet.Account
	kind      int
	cost      float64
	sent      time.Duration
	at        time.Duration
	owed      bool
	held      bool
	returned  bool
	granted   bool
	grantedAt time.Duration
}

// callQueue orders calls by the time at which they arrive or return.
type callQueue []*call

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(c any)        { *q = append(*q, c.(*call)) }

func (q *callQueue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	*q = (*q)[:last]

	return c
}

// newCalls returns the calls of an account whose usual load is a fraction of its rate. What it is
// owed is what a bucket of its rate and burst grants in the order of arrival.
func newCalls(seed uint64, allowance Allowance, usual float64, hot bool) []*call {
	random := rand.New(rand.NewPCG(seed, 77))
	mean := 0.0

	for _, k := range callKinds {
		mean += k.share * k.mean
	}

	var calls []*call

	level, at := allowance.Burst, time.Duration(0)

	for at < callsEnd {
		perSecond := usual * allowance.Rate / mean
		if hot && at >= hotSince && at < hotUntil {
			perSecond *= hotFactor
		}

		interval := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		at += interval
		level = min(level+allowance.Rate*interval.Seconds(), allowance.Burst)

		kind := 0
		for x := random.Float64(); kind < len(callKinds)-1 && x >= callKinds[kind].share; kind++ {
			x -= callKinds[kind].share
		}

		cost := min(50+random.ExpFloat64()*callKinds[kind].mean, largestCall)
		c := &call{account: allowance.Account, kind: kind, cost: cost, sent: at, at: at}

		if c.owed = c.cost <= level; c.owed {
			level -= c.cost
		}

		calls = append(calls, c)
	}

	return calls
}

// callModel plays calls at a fleet, after two seconds in which it starts.
type callModel struct {
	// step exchanges messages each 100 ms.
	step   func(now time.Time, tick int)
	decide func(now time.Time, instance int, charge Charge) Decision
	// fleet holds the instances if there are coordinators.
	fleet *coordinatedFleet
	// instance chooses the instance that a call arrives at.
	instance func(random *rand.Rand) int
	// unranked calls all have the same priority.
	unranked bool
	// hold is how long a refused call may be held until the bucket has refilled.
	hold time.Duration
}

func (m *callModel) play(calls []*call) {
	random := rand.New(rand.NewPCG(4, 4))
	queue := make(callQueue, len(calls))
	copy(queue, calls)
	heap.Init(&queue)

	for tick := 0; queue.Len() > 0; {
		c := heap.Pop(&queue).(*call)
		now := start.Add(2*time.Second + c.at)

		for ; start.Add(time.Duration(tick) * 100 * time.Millisecond).Before(now); tick++ {
			m.step(start.Add(time.Duration(tick)*100*time.Millisecond), tick)
		}

		charge := Charge{Account: c.account, Cost: c.cost, Priority: callKinds[c.kind].priority}
		if m.unranked {
			charge.Priority = 0
		}

		decision := m.decide(now, m.instance(random), charge)

		switch {
		case decision.Granted:
			c.granted, c.grantedAt = true, c.at
		case decision.Paced && !c.held && decision.RetryAfter <= m.hold:
			c.held = true
			c.at += decision.RetryAfter
			heap.Push(&queue, c)
		case !c.returned:
			c.returned = true
			c.at += min(decision.RetryAfter, (c.sent+callKinds[c.kind].deadline-c.at)/3)
			heap.Push(&queue, c)
		}
	}
}

// callResult is what callers of one account got of the calls that it sent while it was hot.
type callResult struct {
	// owed is the part of the worth owed that was granted in time, and all the part of all worth.
	owed, all part
	// kinds is the part of the calls of each kind that was granted in time, and large that of the
	// calls of more than 10,000.
	kinds []part
	large part
	// seconds is the part of the worth owed that was granted in time, by the second in which the
	// calls were sent.
	seconds []part
	// returns is the part of the returning calls of the last kind that was granted.
	returns part
}

// part is a sum of which a part was granted.
type part struct{ granted, asked float64 }

func (p *part) add(amount float64, granted bool) {
	p.asked += amount

	if granted {
		p.granted += amount
	}
}

func (p part) ratio() float64 { return p.granted / max(p.asked, 1) }

func (p part) String() string { return fmt.Sprintf("%.3f", p.ratio()) }

func resultOf(calls []*call) callResult {
	r := callResult{kinds: make([]part, len(callKinds)), seconds: make([]part, callsEnd/time.Second+1)}

	for _, c := range calls {
		inTime := c.granted && c.grantedAt-c.sent <= callKinds[c.kind].deadline
		worth := callKinds[c.kind].worth

		if c.owed {
			r.seconds[c.sent/time.Second].add(worth, inTime)
		}

		if c.sent < hotSince || c.sent >= hotUntil {
			continue
		}

		r.all.add(worth, inTime)
		r.kinds[c.kind].add(1, inTime)

		if c.owed {
			r.owed.add(worth, inTime)
		}

		if c.cost > 10_000 {
			r.large.add(1, inTime)
		}

		if c.returned && c.kind == len(callKinds)-1 {
			r.returns.add(1, inTime)
		}
	}

	return r
}
