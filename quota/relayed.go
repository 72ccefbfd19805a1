package quota

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// RelayedConsumption is what a coordinator knows of another one's consumption of an account's
// limit.
type RelayedConsumption struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Consumption Consumption
}

// SilentCoordinators returns the other coordinators that have acknowledged nothing within the
// time that counts toward the quorum. What they have consumed may be unknown here, and those
// that acknowledge have to tell what they know of it (RelayConsumption): the two quorums of two
// coordinators that cannot reach each other share at least one member. An instance that does
// not coordinate has none.
func (q *Quota) SilentCoordinators(now time.Time) []fleet.InstanceID {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.quorum == 0 || q.delegated {
		return nil
	}

	var silent []fleet.InstanceID

	for id := range q.members {
		if id != q.policy.Self && !q.hasAcknowledged(now, id) {
			silent = append(silent, id)
		}
	}

	slices.Sort(silent)

	return silent
}

// RelayConsumption returns what this instance knows that others have consumed within the last
// window.
func (q *Quota) RelayConsumption(now time.Time, ids []fleet.InstanceID) []RelayedConsumption {
	if len(ids) == 0 {
		return nil
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	var all []RelayedConsumption

	window := now.Add(-q.policy.Window)

	for name, a := range q.accounts {
		for _, id := range ids {
			o := a.remotes[id]
			if o == nil {
				continue
			}

			if recent := o.consumed.since(window); recent > 0 {
				all = append(all, RelayedConsumption{Instance: id, Incarnation: o.incarnation, Consumption: Consumption{
					Account: name, Total: o.consumed.total - o.baseConsumed, Recent: recent, Asked: o.demand.total - o.baseDemand,
				}})
			}
		}
	}

	return all
}

// ReceiveRelayed merges what another coordinator knows of the consumption of others. It may be
// older than what is known here, also from an earlier incarnation.
func (q *Quota) ReceiveRelayed(now time.Time, relayed []RelayedConsumption) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, r := range relayed {
		a := q.accounts[r.Consumption.Account]
		if a == nil || r.Instance == q.policy.Self {
			continue
		}

		o := a.remotes[r.Instance]
		if o != nil && o.incarnation > r.Incarnation {
			continue
		}

		if o != nil && o.incarnation < r.Incarnation {
			q.receiveEarlier(now, a, o, r.Consumption)
		}

		q.receive(now, a, r.Instance, r.Incarnation, r.Consumption)
	}
}

// receiveEarlier adds what earlier incarnations of an instance consumed in the window beyond what is
// known here. Recent contains that, and Total does not.
func (q *Quota) receiveEarlier(now time.Time, a *account, o *remote, s Consumption) {
	missing := s.Recent - s.Total - o.consumed.since(now.Add(-q.policy.Window))
	if missing <= 0 {
		return
	}

	a.globalTotal += missing
	q.paceRemote(now, a, missing)
	o.consumed.add(now, missing)
}
