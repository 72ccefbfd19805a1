package quota

import (
	"time"

	"monsoonlever/fleet"
)

// Acknowledged records that another instance has received directly what this instance had
// consumed at a time.
func (q *Quota) Acknowledged(at time.Time, id fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if at.After(q.acknowledged[id]) {
		q.acknowledged[id] = at
	}
}

// Receive merges what another instance has consumed since it started.
func (q *Quota) Receive(now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation, consumption []Consumption) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, s := range consumption {
		if a := q.accounts[s.Account]; a != nil {
			q.receive(now, a, id, incarnation, s)
		}
	}
}

func (q *Quota) receive(now time.Time, a *account, id fleet.InstanceID, incarnation fleet.Incarnation, s Consumption) {
	_, exists := a.remotes[id]
	o := a.remote(id, incarnation)

	switch restored, ok := q.restored[id]; {
	case exists:
	case ok && restored == incarnation:
		// All of it is in the restored record.
		o.consumed.total, o.demand.total = s.Total, s.Asked
	default:
		// Of the consumption before the first update, only the recent part is still in the
		// window.
		o.consumed.total = s.Total - s.Recent
		o.demand.total = s.Asked - s.Recent
	}

	consumed := max(o.baseConsumed+s.Total-o.consumed.total, 0)
	a.globalTotal += consumed
	q.paceRemote(now, a, consumed)
	o.consumed.raiseTo(now, o.baseConsumed+s.Total)
	q.requestRecord(now, a)
	o.demand.raiseTo(now, o.baseDemand+s.Asked)
}

// SetMembers sets the instances that share the allowances, including this one, and which of
// them record the consumption of all instances. Without recorders, each instance records its
// own.
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

// HasSynced reports whether the records of the other instances were read to the end at least
// once.
func (q *Quota) HasSynced() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return !q.syncedAt.IsZero()
}

// Synced returns a channel that is closed once the records of the other instances were read to
// the end.
func (q *Quota) Synced() <-chan struct{} { return q.synced }

// MarkSynced records that the records of the other instances were read to the end, and removes
// state that is no longer needed.
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
		a.continuing.trim(now.Add(-continuationTTL))
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
