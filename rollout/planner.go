package rollout

import (
	"time"

	"monsoonlever/fleet"
)

const (
	// trialPart is the part of the budget that is spent on trying the version; the rest is
	// for what it gets between the end of the roll-out and the deadline.
	trialPart = 0.45
	// endPart is the part of the budget that the end may use up.
	endPart = 0.9
	// longestLead is how long before the deadline the end is written at most: some calls of
	// the store, and the pace of the holder's steps.
	longestLead = 1200 * time.Millisecond
	// leastShare is the least share of a version that gets any, and the first one; from step
	// to step it grows by growth at most, since the rate of requests is known better each
	// time.
	leastShare = 0.01
	growth     = 2
	// surge is how many times the rate that was seen may come until the counts show it.
	surge = 1.5
	// enoughAnswers is how many answers of the new version make a verdict, where the
	// service has traffic, and fewRequests is a service with hardly any.
	enoughAnswers = 30
	fewRequests   = 100
	// patience is after how many times its span an order is reverted that could not be
	// decided.
	patience = 2
)

// Observation is what the holder of the duty knows at a step.
type Observation struct {
	Routes map[string]Count
	// OldServers and NewServers are the servers of either version that take requests, and OldVersions
	// their versions.
	OldServers, NewServers int
	OldVersions            []fleet.Version
	// CountDelay is the time in which the counts of all instances come here.
	CountDelay time.Duration
}

// Planner decides on one order. Its exported fields are set before its first use; it is not
// safe for concurrent use.
type Planner struct {
	Policy Policy
	Order  Order
	// FirstSeen is when the order was first seen, by the clock of this instance.
	FirstSeen time.Time

	state State
	judge judge
	// rate is how many requests the service gets in a second, and reached and at are what
	// it was last seen from.
	rate    float64
	reached uint64
	at      time.Time
	// completing is set once the end is to be written.
	completing bool
	why        string
}

// Resume goes on from what an earlier holder has decided on the order.
func (p *Planner) Resume(s State) {
	if s.Replaces(p.state) || p.state.Place == 0 {
		p.state = s
	}
}

// Reason says what decided the end, or the share last.
func (p *Planner) Reason() string { return p.why }

// Step returns the state from now on, and whether the end is to be written as completed:
// the state says so once Completed was called. fence is the holder's.
func (p *Planner) Step(now time.Time, fence uint64, pic Observation) (s State, complete bool) {
	p.begin(now, fence, pic)

	if p.state.Phase != Trial {
		return p.state, false
	}

	p.count(now, pic)

	if v := p.judge.see(pic.Routes); v.bad {
		p.revert(v.why + " on " + v.route)

		return p.state, false
	}

	p.decide(now, pic)

	if p.state.Phase == Trial && !p.completing {
		p.state.Share = p.share(pic)
	}

	return p.state, p.completing
}

// MarkCompleted takes in that the end was written.
func (p *Planner) MarkCompleted(old []fleet.Version) {
	p.state.Phase, p.state.Share, p.completing = Completed, 1, false
	p.state.Avoid = without(avoided(p.state.Avoid, old...), p.Order.Target)
	p.state.Step++
}

// begin begins with an order that no holder has seen, and goes on with another's.
func (p *Planner) begin(now time.Time, fence uint64, pic Observation) {
	if p.state.Place < p.Order.Place {
		avoid := p.state.Avoid
		if p.state.Place > 0 && p.state.Phase != Completed {
			// The order before was given up.
			avoid = avoided(avoid, p.state.Target)
		}

		p.state = State{
			Service: p.Order.Service, Target: p.Order.Target, Place: p.Order.Place,
			Avoid: without(avoid, p.Order.Target),
		}
	}

	if p.state.Step == 0 && pic.OldServers == 0 && pic.NewServers > 0 && p.state.Phase == Trial && p.state.Fence == 0 {
		// Nothing but the new version runs: the roll-out ended before anyone here began.
		p.state.Phase, p.why = Completed, "no other version runs"
	}

	if fence != p.state.Fence {
		p.state.Fence, p.state.Step = fence, 0
	}

	p.state.Step++
	p.state.Elapsed = now.Sub(p.FirstSeen)
}

// count takes in what the service and the new version have got.
func (p *Planner) count(now time.Time, pic Observation) {
	reached, exposed := p.state.ReachedBefore, p.state.ExposedBefore

	for _, c := range pic.Routes {
		reached += uint64(c.Old.Sent) + uint64(c.New.Sent)
		exposed += uint64(c.New.Sent)
	}

	if !p.at.IsZero() && now.After(p.at) && reached >= p.reached {
		seen := float64(reached-p.reached) / now.Sub(p.at).Seconds()
		mean := float64(reached) / max(now.Sub(p.FirstSeen), time.Second).Seconds()
		p.rate = max(seen, p.rate/2, mean)
	}

	p.reached, p.at = reached, now
	// What instances counted that are gone is known from the holder before.
	p.state.Reached, p.state.Exposed = max(p.state.Reached, reached), max(p.state.Exposed, exposed)
}

func (p *Planner) revert(why string) {
	p.state.Phase, p.state.Share, p.why = Reverted, 0, why
	p.state.Avoid = avoided(p.state.Avoid, p.Order.Target)
}

// decide ends the trial once it is time to.
func (p *Planner) decide(now time.Time, pic Observation) {
	due := p.FirstSeen.Add(p.Order.Duration)
	if now.Before(due.Add(-p.lead())) {
		return
	}

	answered := uint64(0)
	for _, c := range pic.Routes {
		answered += uint64(c.New.Answered)
	}

	switch {
	case pic.NewServers == 0:
		if now.After(due) {
			p.revert("no server of the version came")
		}
	case pic.OldServers == 0 || p.state.Reached < fewRequests || float64(answered) >= p.enough():
		p.completing, p.why = true, "as good as the old version"
	case now.After(p.FirstSeen.Add(patience * p.Order.Duration)):
		p.revert("too few answers to judge it by")
	}
}

// enough returns how many answers make a verdict: fewer where the budget allows no more.
func (p *Planner) enough() float64 {
	return min(enoughAnswers, p.budget()*trialPart/2)
}

// budget returns how many requests the new version may have got by now.
func (p *Planner) budget() float64 {
	return p.Policy.Share*float64(p.state.Reached) + p.Policy.Slack
}

// share returns the part of the requests that the new version gets. It is such that what
// would still be sent until all instances have stopped, if the version turned bad now,
// stays within the budget.
func (p *Planner) share(pic Observation) float64 {
	if pic.NewServers == 0 {
		return 0
	}

	// Of what is sent now, the counts come after Told, and a decision to stop counts at
	// instances that hear nobody after the life of the last one.
	ahead := surge * p.rate * (pic.CountDelay + p.Policy.GrantTTL()).Seconds()
	left := p.budget()*trialPart - float64(p.state.Exposed)

	if left <= 0 {
		return 0
	}

	if ahead <= 0 {
		// The service has no traffic: whatever comes is within the slack.
		return leastShare
	}

	share := min(left/ahead, growth*max(p.state.Share, leastShare/growth), 1)
	if share < leastShare {
		return 0
	}

	return share
}

// lead returns how long before the deadline the end may be written. A version that turns
// bad then has all requests until the deadline, which is within the budget too.
func (p *Planner) lead() time.Duration {
	left := p.budget()*endPart - float64(p.state.Exposed)
	span := time.Duration(left / max(p.rate, 1) * float64(time.Second))

	return min(max(span, 0), longestLead)
}
