package quota

import "time"

// largeRequestShare is the fraction of the remainder that may go to one request at an instance
// that has consumed nothing recently. It falls as members are added, since each of them may
// grant one at the same time.
func (q *Quota) largeRequestShare(a *account) float64 {
	if len(a.holders) > 0 {
		// Large requests are served by the reserve.
		return 0
	}

	return min(largeRequestFraction, largeRequestTotal/float64(max(len(q.members), 1)))
}

// budget returns the remainder of the allowance, how much of it this instance may consume, and
// what it has consumed of that so far.
func (q *Quota) budget(now time.Time, a *account) (remaining, limit, recent float64) {
	// The conversion rounds, so that all processors find the same amount: some fuse a product into a sum.
	amount := float64(a.allowance.Amount * usableFraction)
	delay := q.propagationDelay(now)
	share := q.share(now, a, delay)
	window := now.Add(-q.policy.Window)

	if now.Sub(q.syncedAt) > q.policy.PropagationDelay && delay == q.policy.PropagationDelay {
		// No updates of the other instances arrived in time: stay within the share of the
		// whole allowance.
		remaining = max(amount-a.consumedElsewhere(window), 0)

		return remaining, min(amount*share, remaining), a.consumed.since(window)
	}

	recent = a.consumed.since(now.Add(-delay))
	remaining = max(amount-a.consumedElsewhere(window)-(a.consumed.since(window)-recent), 0)

	return remaining, remaining * share, recent
}

// consumedElsewhere returns what other instances, and all instances before this one started,
// have consumed since a time, known or assumed.
func (a *account) consumedElsewhere(since time.Time) float64 {
	sum := a.restored.since(since) + a.assumed.since(since)
	for _, o := range a.remotes {
		sum += o.consumed.since(since)
	}

	return sum
}

// propagationDelay returns the time after which all instances know what this one has consumed.
func (q *Quota) propagationDelay(now time.Time) time.Duration {
	if q.policy.DirectDelay == nil {
		return q.policy.PropagationDelay
	}

	direct := min(q.policy.DirectDelay(len(q.members)), q.policy.PropagationDelay)
	if !q.acknowledgedWithin(now, direct) {
		return q.policy.PropagationDelay
	}

	return direct
}

// acknowledgedWithin reports whether all other members have acknowledged updates of this
// instance that are no older than age.
func (q *Quota) acknowledgedWithin(now time.Time, age time.Duration) bool {
	silent := 0

	for id := range q.members {
		if at, ok := q.acknowledged[id]; !ok || now.Sub(at) > age {
			silent++
		}
	}

	// This instance does not acknowledge its own updates.
	return silent <= 1
}

func (q *Quota) acknowledgedByAll(now time.Time) bool {
	return q.policy.DirectDelay != nil && len(q.members) > 1 && q.acknowledgedWithin(now, q.policy.DirectDelay(len(q.members)))
}

// AcknowledgedByAll reports whether all other members acknowledge the updates of this instance
// directly, within DirectDelay.
func (q *Quota) AcknowledgedByAll(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.acknowledgedByAll(now)
}

// share is this instance's share of the remainder: one part divided evenly among the members,
// one part by demand, without the reserve.
func (q *Quota) share(now time.Time, a *account, delay time.Duration) float64 {
	members := len(q.members)
	if members == 0 {
		members = assumedMembers
	}

	even := 1 / float64(members)
	since := now.Add(-demandWindows * q.policy.Window)
	// Demand that the other instances cannot know yet is left out: shares would add up to more
	// than one.
	own := a.demand.since(since) - a.demand.since(now.Add(-delay))
	all := own

	for id, o := range a.remotes {
		if q.members[id] {
			all += o.demand.since(since)
		}
	}

	scale := 1.0
	if len(a.holders) > 0 {
		scale = 1 - reserveFraction
	}

	if all <= 0 {
		return scale * even
	}

	return scale * (evenFraction*even + (1-evenFraction)*own/all)
}

func (q *Quota) retryAfter(a *account, missing float64) time.Duration {
	if a.allowance.Rate <= 0 {
		return maxRetryAfter
	}

	wait := time.Duration(missing / a.allowance.Rate * float64(time.Second))

	return min(max(wait, minRetryAfter), maxRetryAfter)
}
