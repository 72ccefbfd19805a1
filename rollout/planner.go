package rollout

import (
	"time"

	"monsoonlever/fleet"
)

const (
	// trialBudgetShare is the share of the budget available to the trial. The rest covers
	// requests that the new version receives between the completion record and the deadline.
	trialBudgetShare = 0.45
	// completionBudgetShare is the share of the budget that may be consumed by the deadline if
	// the version turns bad right after its completion.
	completionBudgetShare = 0.9
	// maxLeadTime is the longest time before the deadline at which the completion is written.
	// It covers a few store calls and the interval between the holder's steps.
	maxLeadTime = 1200 * time.Millisecond
	// minShare is the first share and the smallest above zero. The share grows by at most the
	// factor maxShareGrowth per step, because the estimate of the request rate improves with
	// each step.
	minShare       = 0.01
	maxShareGrowth = 2
	// rateSurge is the factor by which the request rate may rise before the counts show it.
	rateSurge = 1.5
	// minVerdictAnswers is the number of answers of the new version required to complete the
	// roll-out. A service with fewer requests than lowTrafficRequests is completed without
	// them.
	minVerdictAnswers  = 30
	lowTrafficRequests = 100
	// undecidedDurations is the number of order durations after which a trial with too few
	// answers is reverted.
	undecidedDurations = 2
)

// Observation is the input of the duty holder to one planning step.
type Observation struct {
	Routes map[string]Count
	// OldServers and NewServers count the servers of the old versions and of the new version
	// that accept requests; OldVersions lists the old versions.
	OldServers, NewServers int
	OldVersions            []fleet.Version
	// CountDelay is the time within which the counts of all instances reach the duty holder.
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
	// requestRate is the estimated number of requests per second of the service. It is derived
	// from the change of the request count since lastReached, read at lastCountAt.
	requestRate float64
	lastReached uint64
	lastCountAt time.Time
	// completing is set while the completion record has to be written.
	completing bool
	reason     string
}

// Resume continues from the state that an earlier duty holder decided on.
func (p *Planner) Resume(s State) {
	if s.Replaces(p.state) || p.state.Place == 0 {
		p.state = s
	}
}

// Reason returns the reason for the completion or the reversion, empty during the trial.
func (p *Planner) Reason() string { return p.reason }

// Step returns the new state and whether the caller must write the completion record. The
// state's phase becomes Completed only after a call of MarkCompleted. fence is the fence of
// the duty holder.
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

// MarkCompleted records that the completion was written and excludes the old versions from
// further requests.
func (p *Planner) MarkCompleted(old []fleet.Version) {
	p.state.Phase, p.state.Share, p.completing = Completed, 1, false
	p.state.Avoid = removeVersion(addVersions(p.state.Avoid, old...), p.Order.Target)
	p.state.Step++
}

// startStep initializes the state for a new order, or continues the state of an earlier
// holder, and numbers the step.
func (p *Planner) startStep(now time.Time, fence uint64, observed Observation) {
	if p.state.Place < p.Order.Place {
		avoid := p.state.Avoid
		if p.state.Place > 0 && p.state.Phase != Completed {
			// The previous order was abandoned, so its version receives no more requests.
			avoid = addVersions(avoid, p.state.Target)
		}

		p.state = State{
			Service: p.Order.Service, Target: p.Order.Target, Place: p.Order.Place,
			Avoid: removeVersion(avoid, p.Order.Target),
		}
	}

	if p.state.Step == 0 && observed.OldServers == 0 && observed.NewServers > 0 && p.state.Phase == Trial && p.state.Fence == 0 {
		// Only the new version runs: the roll-out ended before any holder planned it.
		p.state.Phase, p.reason = Completed, "no other version runs"
	}

	if fence != p.state.Fence {
		p.state.Fence, p.state.Step = fence, 0
	}

	p.state.Step++
	p.state.Elapsed = now.Sub(p.FirstSeen)
}

// updateCounts updates the request counts of the service and of the new version, and the
// request rate.
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
	// The previous holder's state includes counts of instances that are gone.
	p.state.Reached, p.state.Exposed = max(p.state.Reached, reached), max(p.state.Exposed, exposed)
}

func (p *Planner) revert(reason string) {
	p.state.Phase, p.state.Share, p.reason = Reverted, 0, reason
	p.state.Avoid = addVersions(p.state.Avoid, p.Order.Target)
}

// decide completes or reverts the trial once its deadline is near.
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

// requiredAnswers returns the number of answers required for a verdict, reduced where the
// budget allows fewer.
func (p *Planner) requiredAnswers() float64 {
	return min(minVerdictAnswers, p.budget()*trialBudgetShare/2)
}

// budget returns the number of requests that the new version may have received so far.
func (p *Planner) budget() float64 {
	return p.Policy.Share*float64(p.state.Reached) + p.Policy.Slack
}

// nextShare returns the share of requests for the new version. If the version turned bad now,
// the requests sent to it until all instances stop would still stay within the trial's budget.
func (p *Planner) nextShare(observed Observation) float64 {
	if observed.NewServers == 0 {
		return 0
	}

	// Requests sent now are counted after CountDelay, and an instance that receives no updates
	// keeps sending until its last decision expires after GrantTTL.
	uncounted := rateSurge * p.requestRate * (observed.CountDelay + p.Policy.GrantTTL()).Seconds()
	left := p.budget()*trialBudgetShare - float64(p.state.Exposed)

	if left <= 0 {
		return 0
	}

	if uncounted <= 0 {
		// The service has no traffic, so any request is covered by the slack.
		return minShare
	}

	share := min(left/uncounted, maxShareGrowth*max(p.state.Share, minShare/maxShareGrowth), 1)
	if share < minShare {
		return 0
	}

	return share
}

// leadTime returns how long before the deadline the completion may be written. A version that
// turns bad after that receives all requests until the deadline, which stays within the budget
// too.
func (p *Planner) leadTime() time.Duration {
	left := p.budget()*completionBudgetShare - float64(p.state.Exposed)
	duration := time.Duration(left / max(p.requestRate, 1) * float64(time.Second))

	return min(max(duration, 0), maxLeadTime)
}
