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

	if at.After(q.heard[id]) {
		q.heard[id] = at
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

		_, known := a.others[id]
		o := a.other(id, incarnation)

		switch covered, ok := q.covered[id]; {
		case known:
		case ok && covered == incarnation:
			// All of it was inherited.
			o.spent.total, o.asked.total = s.Total, s.Asked
		default:
			// Of what was spent before, only the newest part still counts.
			o.spent.total = s.Total - s.Recent
			o.asked.total = s.Asked - s.Recent
		}

		a.known += max(o.baseSpent+s.Total-o.spent.total, 0)
		o.spent.raise(now, o.baseSpent+s.Total)
		q.tell(now, a)
		o.asked.raise(now, o.baseAsked+s.Asked)
	}
}

// SetMembers sets which instances share the allowances, this one among them, and which of
// them record what all have spent. Where none is named, each records its own.
func (q *Quota) SetMembers(ids, recorders []fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.quorum, q.client = 0, false
	q.setMembers(ids, recorders)
}

func (q *Quota) setMembers(ids, recorders []fleet.InstanceID) {
	clear(q.members)

	for _, id := range ids {
		q.members[id] = true
	}

	q.recorders = recorders
	q.placeReserves()
}

// HasSynced tells whether the others' news was read at least once.
func (q *Quota) HasSynced() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return !q.reached.IsZero()
}

// Synced returns a channel that is closed once the others' news was read.
func (q *Quota) Synced() <-chan struct{} { return q.read }

// MarkSynced is told that the others' news was read to its end.
func (q *Quota) MarkSynced(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.reached.IsZero() {
		close(q.read)
	}

	q.reached = now

	for id := range q.heard {
		if !q.members[id] {
			delete(q.heard, id)
		}
	}

	oldest := now.Add(-demandSpan * q.policy.Window)

	for _, a := range q.accounts {
		a.own.trim(oldest)
		a.ownAsked.trim(oldest)
		a.inherited.trim(oldest)
		a.unheard.trim(oldest)

		for id, o := range a.others {
			o.spent.trim(oldest)
			o.asked.trim(oldest)

			if !q.members[id] && o.asked.empty() {
				delete(a.others, id)
			}
		}
	}
}
