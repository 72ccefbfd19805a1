package rollout

import (
	"time"

	"monsoonlever/fleet"
)

const (
	// trialBudgetShare is the part of the budget that is spent on trying the version; the rest is
	// for what it gets between the end of the roll-out and the deadline.
	trialBudgetShare = 0.45
	// completionBudgetShare is the part of the budget that the end may use up.
	completionBudgetShare = 0.9
	// maxLeadTime is how long before the deadline the end is written at most: some calls of
	// the store, and the pace of the holder's steps.
	maxLeadTime = 1200 * time.Millisecond
	// minShare is the least share of a version that gets any, and the first one; from step
	// to step it grows by growth at most, since the rate of requests is known better each
	// time.
	minShare       = 0.01
	maxShareGrowth = 2
	// rateSurge is how many times the rate that was seen may come until the counts show it.
	rateSurge = 1.5
	// minVerdictAnswers is how many answers of the new version make a verdict, where the
	// service has traffic, and fewRequests is a service with hardly any.
	minVerdictAnswers  = 30
	lowTrafficRequests = 100
	// undecidedDurations is after how many times its span an order is reverted that could not be
	// decided.
	undecidedDurations = 2
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

	state    State
	detector detector
	// requestRate is how many requests the service gets in a second, and reached and at are what
	// it was last seen from.
	requestRate float64
	lastReached uint64
	lastCountAt time.Time
	// completing is set once the end is to be written.
	completing bool
	reason     string
}

// Resume goes on from what an earlier holder has decided on the order.
func (p *Planner) Resume(s State) {
	if s.Replaces(p.state) || p.state.Place == 0 {
		p.state = s
	}
}

// Reason says what decided the end, or the share last.
func (p *Planner) Reason() string { return p.reason }

// Step returns the state from now on, and whether the end is to be written as completed:
// the state says so once Completed was called. fence is the holder's.
func (p *Planner) Step(now time.Time, fence uint64, observed Observation) (s State, complete bool) {
	p.startStep(now, fence, observed)

	if p.state.Phase != Trial {
		return p.state, false
	}

	p.updateCounts(now, observed)

	if v := p.detector.update(observed.Routes); v.bad {
		p.revert(v.reason + " on " + v.route)

		return p.state, false
	}

	p.decide(now, observed)

	if p.state.Phase == Trial && !p.completing {
		p.state.Share = p.nextShare(observed)
	}

	return p.state, p.completing
}

// MarkCompleted takes in that the end was written.
func (p *Planner) MarkCompleted(old []fleet.Version) {
	p.state.Phase, p.state.Share, p.completing = Completed, 1, false
	p.state.Avoid = removeVersion(addVersions(p.state.Avoid, old...), p.Order.Target)
	p.state.Step++
}

// startStep begins with an order that no holder has seen, and goes on with another's.
func (p *Planner) startStep(now time.Time, fence uint64, observed Observation) {
	if p.state.Place < p.Order.Place {
		avoid := p.state.Avoid
		if p.state.Place > 0 && p.state.Phase != Completed {
			// The order before was given up.
			avoid = addVersions(avoid, p.state.Target)
		}

		p.state = State{
			Service: p.Order.Service, Target: p.Order.Target, Place: p.Order.Place,
			Avoid: removeVersion(avoid, p.Order.Target),
		}
	}

	if p.state.Step == 0 && observed.OldServers == 0 && observed.NewServers > 0 && p.state.Phase == Trial && p.state.Fence == 0 {
		// Nothing but the new version runs: the roll-out ended before anyone here began.
		p.state.Phase, p.reason = Completed, "no other version runs"
	}

	if fence != p.state.Fence {
		p.state.Fence, p.state.Step = fence, 0
	}

	p.state.Step++
	p.state.Elapsed = now.Sub(p.FirstSeen)
}

// updateCounts takes in what the service and the new version have got.
func (p *Planner) updateCounts(now time.Time, observed Observation) {
	reached, exposed := p.state.ReachedBefore, p.state.ExposedBefore

	for _, c := range observed.Routes {
		reached += uint64(c.Old.Sent) + uint64(c.New.Sent)
		exposed += uint64(c.New.Sent)
	}

	if !p.lastCountAt.IsZero() && now.After(p.lastCountAt) && reached >= p.lastReached {
		current := float64(reached-p.lastReached) / now.Sub(p.lastCountAt).Seconds()
		mean := float64(reached) / max(now.Sub(p.FirstSeen), time.Second).Seconds()
		p.requestRate = max(current, p.requestRate/2, mean)
	}

	p.lastReached, p.lastCountAt = reached, now
	// What instances counted that are gone is known from the holder before.
	p.state.Reached, p.state.Exposed = max(p.state.Reached, reached), max(p.state.Exposed, exposed)
}

func (p *Planner) revert(reason string) {
	p.state.Phase, p.state.Share, p.reason = Reverted, 0, reason
	p.state.Avoid = addVersions(p.state.Avoid, p.Order.Target)
}

// decide ends the trial once it is time to.
func (p *Planner) decide(now time.Time, observed Observation) {
	deadline := p.FirstSeen.Add(p.Order.Duration)
	if now.Before(deadline.Add(-p.leadTime())) {
		return
	}

	answered := uint64(0)
	for _, c := range observed.Routes {
		answered += uint64(c.New.Answered)
	}

	switch {
	case observed.NewServers == 0:
		if now.After(deadline) {
			p.revert("no server of the version came")
		}
	case observed.OldServers == 0 || p.state.Reached < lowTrafficRequests || float64(answered) >= p.requiredAnswers():
		p.completing, p.reason = true, "as good as the old version"
	case now.After(p.FirstSeen.Add(undecidedDurations * p.Order.Duration)):
		p.revert("too few answers to judge it by")
	}
}

// requiredAnswers returns how many answers make a verdict: fewer where the budget allows no more.
func (p *Planner) requiredAnswers() float64 {
	return min(minVerdictAnswers, p.budget()*trialBudgetShare/2)
}

// budget returns how many requests the new version may have got by now.
func (p *Planner) budget() float64 {
	return p.Policy.Share*float64(p.state.Reached) + p.Policy.Slack
}

// nextShare returns the part of the requests that the new version gets. It is such that what
// would still be sent until all instances have stopped, if the version turned bad now,
// stays within the budget.
func (p *Planner) nextShare(observed Observation) float64 {
	if observed.NewServers == 0 {
		return 0
	}

	// Of what is sent now, the counts come after Told, and a decision to stop counts at
	// instances that hear nobody after the life of the last one.
	uncounted := rateSurge * p.requestRate * (observed.CountDelay + p.Policy.GrantTTL()).Seconds()
	left := p.budget()*trialBudgetShare - float64(p.state.Exposed)

	if left <= 0 {
		return 0
	}

	if uncounted <= 0 {
		// The service has no traffic: whatever comes is within the slack.
		return minShare
	}

	share := min(left/uncounted, maxShareGrowth*max(p.state.Share, minShare/maxShareGrowth), 1)
	if share < minShare {
		return 0
	}

	return share
}

// leadTime returns how long before the deadline the end may be written. A version that turns
// bad then has all requests until the deadline, which is within the budget too.
func (p *Planner) leadTime() time.Duration {
	left := p.budget()*completionBudgetShare - float64(p.state.Exposed)
	duration := time.Duration(left / max(p.requestRate, 1) * float64(time.Second))

	return min(max(duration, 0), maxLeadTime)
}
