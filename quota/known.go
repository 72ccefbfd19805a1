package quota

import (
	"time"

	"monsoonlever/fleet"
)

// GlobalConsumption is what all instances have spent of an account's limit within the last window,
// as far as one of them knows, by age: the oldest part of the window first.
type GlobalConsumption struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Account  fleet.Account
	Ages     []uint32
}

// recordAll returns what all have spent. An instance that has not read what was spent
// before it started does not know it.
func (q *Quota) recordAll(now time.Time) []GlobalConsumption {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.reached.IsZero() {
		return nil
	}

	all := make([]GlobalConsumption, 0, len(q.accounts))

	for name, a := range q.accounts {
		sum := a.own.ages(now, q.policy.Window)
		addAges(sum, a.inherited.ages(now, q.policy.Window))

		for _, o := range a.others {
			addAges(sum, o.spent.ages(now, q.policy.Window))
		}

		a.knownRecorded = a.known
		all = append(all, GlobalConsumption{Account: name, Ages: sum})
	}

	return all
}

func addAges(sum, more []uint32) {
	for i := range sum {
		sum[i] += more[i]
	}
}

// inheritKnown takes in what all had spent at a time before this instance started. The
// runs that were recorded until then tell the same spending when they are heard.
func (q *Quota) inheritKnown(now, at time.Time, known []GlobalConsumption, runs []run) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, k := range known {
		a := q.accounts[k.Account]
		if a == nil {
			continue
		}

		for i, part := range k.Ages {
			a.inherited.add(q.youngest(at, i, len(k.Ages)), float64(part))
		}

		// What was spent after the record is not told by anybody. It is no part of what
		// this instance records: instances that start one after the other would add it
		// up.
		a.unheard.add(now, UnrecordedFraction*a.allowance.Amount)
	}

	q.covered = make(map[fleet.InstanceID]fleet.Incarnation, len(runs))
	for _, r := range runs {
		q.covered[r.instance] = r.incarnation
	}
}

// youngest is the latest time that a part of a window may stand for, which ends at a
// time and is divided into parts, the oldest first.
func (q *Quota) youngest(at time.Time, part, parts int) time.Time {
	return at.Add(-q.policy.Window * time.Duration(parts-1-part) / time.Duration(parts))
}
