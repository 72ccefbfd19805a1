package quota

import (
	"time"

	"monsoonlever/fleet"
)

// GlobalConsumption is what all instances have consumed of an account's limit within the last
// window, as far as one of them knows. Ages holds it in buckets by age, the oldest first.
type GlobalConsumption struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Account  fleet.Account
	Ages     []uint32
}

// recordGlobal returns what all instances have consumed, or nil if this instance has not yet
// read what was consumed before it started.
func (q *Quota) recordGlobal(now time.Time) []GlobalConsumption {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.syncedAt.IsZero() {
		return nil
	}

	all := make([]GlobalConsumption, 0, len(q.accounts))

	for name, a := range q.accounts {
		sum := a.consumed.buckets(now, q.policy.Window)
		addBuckets(sum, a.restored.buckets(now, q.policy.Window))

		for _, o := range a.remotes {
			addBuckets(sum, o.consumed.buckets(now, q.policy.Window))
		}

		a.globalRecorded = a.globalTotal
		all = append(all, GlobalConsumption{Account: name, Ages: sum})
	}

	return all
}

func addBuckets(sum, more []uint32) {
	for i := range sum {
		sum[i] += more[i]
	}
}

// restoreGlobal restores what all instances had consumed at a time before this instance
// started, and the lost fraction of each allowance that no record contains. Receive does not count
// again the consumption of incarnations that were recorded by then.
func (q *Quota) restoreGlobal(now, at time.Time, records *EarlierRecords, lost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, k := range records.global {
		a := q.accounts[k.Account]
		if a == nil {
			continue
		}

		for i, amount := range k.Ages {
			a.restored.add(q.bucketEnd(at, i, len(k.Ages)), float64(amount))
		}
	}

	for _, a := range q.accounts {
		// Records of this instance contain it: those who start later find newer records, and no
		// gap.
		a.restored.add(now, lost*a.allowance.Amount)

		// Nothing states what was consumed after the record. The assumed amount is not part of
		// the records of this instance: instances that start one after the other would add it
		// up.
		a.assumed.add(now, UnrecordedFraction*a.allowance.Amount)
	}

	q.restored = make(map[fleet.InstanceID]fleet.Incarnation, len(records.incarnations))
	for _, r := range records.incarnations {
		q.restored[r.instance] = r.incarnation
	}
}

// bucketEnd returns the end of a bucket, for a window that ends at a time and is divided into
// count buckets, the oldest first.
func (q *Quota) bucketEnd(at time.Time, bucket, count int) time.Time {
	return at.Add(-q.policy.Window * time.Duration(count-1-bucket) / time.Duration(count))
}
