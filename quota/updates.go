package quota

import (
	"time"

	"monsoonlever/fleet"
)

// Acknowledged is told that another instance has heard this one directly, what this one
// had spent by then included.
func (q *Quota) Acknowledged(at time.Time, id fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if at.After(q.acknowledged[id]) {
		q.acknowledged[id] = at
	}
}

// Receive takes in what another instance has spent since its start.
func (q *Quota) Receive(now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation, spent []Consumption) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, s := range spent {
		a := q.accounts[s.Account]
		if a == nil {
			continue
		}

		_, known := a.remotes[id]
		o := a.remote(id, incarnation)

		switch covered, ok := q.restored[id]; {
		case known:
		case ok && covered == incarnation:
			// All of it was inherited.
			o.consumed.total, o.demand.total = s.Total, s.Asked
		default:
			// Of what was spent before, only the newest part still counts.
			o.consumed.total = s.Total - s.Recent
			o.demand.total = s.Asked - s.Recent
		}

		a.globalTotal += max(o.baseConsumed+s.Total-o.consumed.total, 0)
		o.consumed.raiseTo(now, o.baseConsumed+s.Total)
		q.requestRecord(now, a)
		o.demand.raiseTo(now, o.baseDemand+s.Asked)
	}
}

// SetMembers sets which instances share the allowances, this one among them, and which of
// them record what all have spent. Where none is named, each records its own.
func (q *Quota) SetMembers(ids, recorders []fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.quorum, q.delegated = 0, false
	q.applyMembers(ids, recorders)
}

func (q *Quota) applyMembers(ids, recorders []fleet.InstanceID) {
	clear(q.members)

	for _, id := range ids {
		q.members[id] = true
	}

	q.recorders = recorders
	q.assignReserves()
}

// HasSynced tells whether the others' news was read at least once.
func (q *Quota) HasSynced() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return !q.syncedAt.IsZero()
}

// Synced returns a channel that is closed once the others' news was read.
func (q *Quota) Synced() <-chan struct{} { return q.synced }

// MarkSynced is told that the others' news was read to its end.
func (q *Quota) MarkSynced(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.syncedAt.IsZero() {
		close(q.synced)
	}

	q.syncedAt = now

	for id := range q.acknowledged {
		if !q.members[id] {
			delete(q.acknowledged, id)
		}
	}

	oldest := now.Add(-demandWindows * q.policy.Window)

	for _, a := range q.accounts {
		a.consumed.trim(oldest)
		a.demand.trim(oldest)
		a.restored.trim(oldest)
		a.assumed.trim(oldest)

		for id, o := range a.remotes {
			o.consumed.trim(oldest)
			o.demand.trim(oldest)

			if !q.members[id] && o.demand.empty() {
				delete(a.remotes, id)
			}
		}
	}
}
