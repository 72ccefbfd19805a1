package quota

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

const (
	// keeperQuorum is how many of the keepers, this one included, must have heard each
	// other before one grants: the most of five. Of instances that are cut off from each
	// other only one side grants.
	keeperQuorum = 3
	// quorumSpan is how long ago that may be: some words, and less than the time after
	// which one that is silent is replaced.
	quorumSpan = 1500 * time.Millisecond
)

// SetCoordinators sets which instances keep the limits for all others: of many instances each
// part would be too small for one request, and what each tells would have to reach all.
// The keepers divide and tell what is spent among themselves; every other instance asks
// one of them for each request. With 195 instances and an account at nine tenths of its
// limit, 0 of 170 requests are refused; with the rest divided among all, 21
// (TestFewKeepersServeManyInstances).
//
// One that comes to keep limits grants nothing before it has read what was recorded.
func (q *Quota) SetCoordinators(now time.Time, ids []fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()

	sorted := slices.Sorted(slices.Values(ids))
	if q.quorum > 0 && slices.Equal(sorted, q.recorders) {
		return
	}

	keeps := slices.Contains(ids, q.policy.Self)
	if keeps && (q.client || q.quorum == 0) {
		q.joined = now
	}

	q.quorum, q.client = keeperQuorum, !keeps
	q.setMembers(ids, sorted)
}

// LendTo lends to an instance. What one asks that keeps no limits counts as demand here.
func (q *Quota) LendTo(now time.Time, from fleet.InstanceID, name fleet.Account, cost float64) Decision {
	q.mu.Lock()

	if a := q.accounts[name]; a != nil && !q.members[from] && !q.client {
		a.ownAsked.add(now, cost)
	}

	q.mu.Unlock()

	return q.Lend(now, name, cost)
}

// CanGrant reports whether this instance keeps limits and may grant something now.
func (q *Quota) CanGrant(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return !q.reached.IsZero() && q.grants(now)
}

// grants tells whether this instance may grant anything by itself.
func (q *Quota) grants(now time.Time) bool {
	if q.client {
		return false
	}

	if q.quorum == 0 {
		return true
	}

	heard := 1

	for id := range q.members {
		if at, ok := q.heard[id]; ok && now.Sub(at) <= quorumSpan {
			heard++
		}
	}

	return heard >= q.quorum && !q.reached.Before(q.joined)
}
