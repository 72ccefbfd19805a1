package quota

import "time"

// large is the part of the rest that may go to one request of an instance that has
// spent nothing lately. The more instances there are, the more may do so at once.
func (q *Quota) large(a *account) float64 {
	if len(a.holders) > 0 {
		// Large requests are for the reserve.
		return 0
	}

	return min(largePart, largeTotal/float64(max(len(q.members), 1)))
}

// room returns the rest of the allowance, this instance's part of it, and what it
// has spent of that part.
func (q *Quota) room(now time.Time, a *account) (rest, part, recent float64) {
	amount := a.allowance.Amount * safety
	unseen := q.spread(now)
	share := q.share(now, a, unseen)
	window := now.Add(-q.policy.Window)

	if now.Sub(q.reached) > q.policy.PropagationDelay && unseen == q.policy.PropagationDelay {
		// Nothing new is known of the others: the part of the whole is kept to.
		rest = max(amount-a.elsewhere(window), 0)

		return rest, min(amount*share, rest), a.own.since(window)
	}

	recent = a.own.since(now.Add(-unseen))
	rest = max(amount-a.elsewhere(window)-(a.own.since(window)-recent), 0)

	return rest, rest * share, recent
}

// elsewhere returns what others, and all before this instance started, have spent since
// a time, as far as it is known or has to be assumed.
func (a *account) elsewhere(since time.Time) float64 {
	sum := a.inherited.since(since) + a.unheard.since(since)
	for _, o := range a.others {
		sum += o.spent.since(since)
	}

	return sum
}

// spread returns the time in which what this instance spends is known to all.
func (q *Quota) spread(now time.Time) time.Duration {
	if q.policy.DirectDelay == nil {
		return q.policy.PropagationDelay
	}

	quick := min(q.policy.DirectDelay(len(q.members)), q.policy.PropagationDelay)
	if !q.allHear(now, quick) {
		return q.policy.PropagationDelay
	}

	return quick
}

// allHear tells whether all others have heard this instance within a span.
func (q *Quota) allHear(now time.Time, span time.Duration) bool {
	silent := 0

	for id := range q.members {
		if at, ok := q.heard[id]; !ok || now.Sub(at) > span {
			silent++
		}
	}

	// This instance itself is never heard.
	return silent <= 1
}

func (q *Quota) quick(now time.Time) bool {
	return q.policy.DirectDelay != nil && len(q.members) > 1 && q.allHear(now, q.policy.DirectDelay(len(q.members)))
}

// AcknowledgedByAll tells whether all others hear this instance directly.
func (q *Quota) AcknowledgedByAll(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.quick(now)
}

// share is this instance's part: evenly among the members, and by demand.
func (q *Quota) share(now time.Time, a *account, unseen time.Duration) float64 {
	members := len(q.members)
	if members == 0 {
		members = unknownMembers
	}

	even := 1 / float64(members)
	since := now.Add(-demandSpan * q.policy.Window)
	// What the others can't know yet would make the parts add up to more than one.
	own := a.ownAsked.since(since) - a.ownAsked.since(now.Add(-unseen))
	all := own

	for id, o := range a.others {
		if q.members[id] {
			all += o.asked.since(since)
		}
	}

	divided := 1.0
	if len(a.holders) > 0 {
		divided = 1 - reservePart
	}

	if all <= 0 {
		return divided * even
	}

	return divided * (evenPart*even + (1-evenPart)*own/all)
}

func (q *Quota) retryAfter(a *account, missing float64) time.Duration {
	if a.allowance.Rate <= 0 {
		return lastRetry
	}

	wait := time.Duration(missing / a.allowance.Rate * float64(time.Second))

	return min(max(wait, firstRetry), lastRetry)
}
