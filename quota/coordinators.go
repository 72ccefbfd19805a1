package quota

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

const (
	// coordinatorQuorum is how many coordinators, including this one, must be connected before
	// one of them grants: the majority of five, so that only one side of a network partition
	// grants.
	coordinatorQuorum = 3
	// acknowledgmentTTL is how long an acknowledgment counts toward the quorum. It spans
	// several updates, and is shorter than the time after which a silent coordinator is
	// replaced.
	acknowledgmentTTL = 1500 * time.Millisecond
)

// SetCoordinators sets which instances enforce the limits for all others. In a large
// fleet, the share of each instance would be too small for one request, and the updates of
// each would have to reach all. The coordinators divide the allowances and exchange updates
// among themselves; every other instance requests a loan from them for each request. With
// 195 instances and an account at nine tenths of its limit, 0 of 170 requests are refused;
// with the remainder divided among all instances, 21 are
// (TestFewCoordinatorsServeManyInstances).
//
// A new coordinator grants nothing before it has read the records.
func (q *Quota) SetCoordinators(now time.Time, ids []fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()

	sorted := slices.Sorted(slices.Values(ids))
	if q.quorum > 0 && slices.Equal(sorted, q.recorders) {
		return
	}

	coordinates := slices.Contains(ids, q.policy.Self)
	if coordinates && (q.delegated || q.quorum == 0) {
		q.coordinatorSince = now
		q.resetBuckets()
	}

	q.quorum, q.delegated = coordinatorQuorum, !coordinates
	q.applyMembers(ids, sorted)
}

// LendTo decides a loan request of an instance. A request from an instance that is not a member
// counts as demand of this one, and so does any request for a paced account.
func (q *Quota) LendTo(now time.Time, from fleet.InstanceID, charge Charge) Decision {
	q.mu.Lock()

	if a := q.accounts[charge.Account]; a != nil && charge.valid() && !q.delegated && (!q.members[from] || q.paces(a)) {
		a.demand.add(now, charge.Cost)
	}

	q.mu.Unlock()

	return q.Lend(now, charge)
}

// CanGrant reports whether this instance may grant anything now: it has read the records and,
// among coordinators, has a quorum.
func (q *Quota) CanGrant(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return !q.syncedAt.IsZero() && q.canGrant(now)
}

// canGrant reports whether the role of this instance, and the quorum of coordinators, allow it
// to grant.
func (q *Quota) canGrant(now time.Time) bool {
	if q.delegated {
		return false
	}

	if q.quorum == 0 {
		return true
	}

	acknowledged := 1

	for id := range q.members {
		if q.hasAcknowledged(now, id) {
			acknowledged++
		}
	}

	return acknowledged >= q.quorum && !q.syncedAt.Before(q.coordinatorSince)
}

// hasAcknowledged reports whether an acknowledgment of another instance counts toward the
// quorum.
func (q *Quota) hasAcknowledged(now time.Time, id fleet.InstanceID) bool {
	at, ok := q.acknowledged[id]

	return ok && now.Sub(at) <= acknowledgmentTTL
}
