package quota

import (
	"time"

	"monsoonlever/fleet"
)

// EarlierRecords collects the records from before an instance started, in the order of
// the log. Of each incarnation of an instance, the newest record counts. An incarnation
// does not replace its predecessor, whose consumption is still in the window. The zero
// value is empty.
//
// The age of a record follows from other records: the clock of one incarnation gives the
// time between two of its own. Wall clocks may jump, and differ between instances. If no
// incarnation has a record on both sides of a gap, the gap counts as zero, which keeps
// consumption in the window for longer than it is there.
type EarlierRecords struct {
	incarnations []incarnationRecord
	// elapsed is the time from the first record to the newest.
	elapsed time.Duration
	// global is the newest record of the consumption of all instances, and globalAt is when it
	// was written, on the time scale of elapsed.
	global   []GlobalConsumption
	globalAt time.Duration
	// globalClock and newestClock are what the clocks of their writers showed at that record and at
	// the newest of all.
	globalClock, newestClock time.Time
}

// restartTime is the time from the last record of instances that were all killed until their
// successors start, if the records could be written.
const restartTime = 3 * time.Second

// globalRecordTTL is the age up to which a record of the consumption of all instances is used
// instead of the records of each instance. Recorders write one every two seconds, and sooner
// when much is consumed.
const globalRecordTTL = 3 * time.Second

// incarnationRecord is the newest record of one incarnation of an instance.
type incarnationRecord struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	// recordedAt is the record's time on the clock of the incarnation, and elapsed the same
	// time on the scale of EarlierRecords.elapsed.
	recordedAt  time.Time
	elapsed     time.Duration
	consumption []Consumption
}

// Add adds a record that an incarnation wrote when its clock showed at.
func (p *EarlierRecords) Add(
	id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, consumption []Consumption, global []GlobalConsumption,
) {
	p.addIncarnation(id, incarnation, at, consumption)

	p.newestClock = at

	if len(global) > 0 {
		p.global, p.globalAt, p.globalClock = global, p.elapsed, at
	}
}

func (p *EarlierRecords) addIncarnation(id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, consumption []Consumption) {
	for i := range p.incarnations {
		r := &p.incarnations[i]
		if r.instance != id || r.incarnation != incarnation {
			continue
		}

		p.elapsed = max(p.elapsed, r.elapsed+at.Sub(r.recordedAt))
		r.recordedAt, r.elapsed, r.consumption = at, p.elapsed, consumption

		return
	}

	p.incarnations = append(p.incarnations, incarnationRecord{instance: id, incarnation: incarnation, recordedAt: at, elapsed: p.elapsed, consumption: consumption})
}

// Restore restores the consumption that was recorded before this instance started. All
// instances may have terminated since, each after it consumed its share of the unrecorded
// fraction, and more if records could not be written for some time before startedAt, when this
// instance started.
//
// Before the first Configure no account is known; what the records hold is restored with it.
func (q *Quota) Restore(now, startedAt time.Time, records *EarlierRecords) {
	q.mu.Lock()

	if !q.configured {
		q.pendingRestore = func() { q.restore(now, startedAt, records) }
		q.mu.Unlock()

		return
	}

	q.mu.Unlock()
	q.restore(now, startedAt, records)
}

func (q *Quota) restore(now, startedAt time.Time, records *EarlierRecords) {
	if len(records.global) > 0 && records.elapsed-records.globalAt <= globalRecordTTL {
		q.restoreGlobal(now, now.Add(records.globalAt-records.elapsed), records, q.lostAtStart(startedAt.Sub(records.globalClock)))

		return
	}

	instances := make(map[fleet.InstanceID]bool)
	for _, r := range records.incarnations {
		instances[r.instance] = true
	}

	lost := q.lostAtStart(startedAt.Sub(records.newestClock))
	unrecorded := UnrecordedFraction + lost

	for _, r := range records.incarnations {
		q.RestoreInstance(r.instance, r.incarnation, now.Add(r.elapsed-records.elapsed), r.consumption, unrecorded/float64(len(instances)))
	}

	if lost > 0 && len(instances) > 0 {
		q.assumeOfIdle(now, records, unrecorded/float64(len(instances)))
	}
}

// assumeOfIdle adds the unrecorded fraction of each instance for the accounts of which it had consumed
// nothing when its records were written.
func (q *Quota) assumeOfIdle(now time.Time, records *EarlierRecords, unrecordedFraction float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	recorded := make(map[fleet.InstanceID]map[fleet.Account]bool)

	for _, r := range records.incarnations {
		if recorded[r.instance] == nil {
			recorded[r.instance] = make(map[fleet.Account]bool)
		}

		for _, s := range r.consumption {
			recorded[r.instance][s.Account] = true
		}
	}

	for name, a := range q.accounts {
		for _, accounts := range recorded {
			if !accounts[name] {
				a.assumed.add(now, unrecordedFraction*a.allowance.Amount)
			}
		}
	}
}

// outageMargin is the fraction of an allowance that a start after an outage assumes as consumed on top:
// instances that start together share what is left unevenly until they know of each other.
const outageMargin = 0.1

// lostAtStart is lostFraction, with the margin of an outage.
func (q *Quota) lostAtStart(gap time.Duration) float64 {
	lost := q.lostFraction(gap)
	if lost <= 0 {
		return 0
	}

	return min(lost+outageMargin, usableFraction-UnrecordedFraction)
}

// lostFraction returns the fraction of an allowance, beyond UnrecordedFraction, that may have been
// consumed without a record when none was written for the time gap. The clocks of two machines decide
// it: while one of them is wrong it is too large or too small.
func (q *Quota) lostFraction(gap time.Duration) float64 {
	lost := float64(gap-restartTime) / float64(q.policy.Window)

	return min(max(lost, 0), usableFraction-UnrecordedFraction)
}

// RestoreInstance restores what an instance had recorded at a time before this one
// started. That instance may have terminated since; unrecordedFraction is the fraction of each
// allowance that it may have consumed afterwards without recording it.
func (q *Quota) RestoreInstance(id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, consumption []Consumption, unrecordedFraction float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, s := range consumption {
		a := q.accounts[s.Account]
		if a == nil {
			continue
		}

		o := a.remote(id, incarnation)
		o.consumed.total = max(o.consumed.total, o.baseConsumed+s.Total-s.Recent)
		o.demand.total = max(o.demand.total, o.baseDemand+s.Asked-s.Recent)

		total := o.baseConsumed + s.Total - s.Recent
		for i, amount := range s.Ages {
			total += float64(amount)
			o.consumed.raiseTo(q.bucketEnd(at, i, len(s.Ages)), total)
		}

		o.consumed.raiseTo(at, o.baseConsumed+s.Total+unrecordedFraction*a.allowance.Amount)
		o.demand.raiseTo(at, o.baseDemand+s.Asked)
	}
}

// remote returns the state of an instance, which it adds if it is missing. If the incarnation
// is a new one, the totals so far become its base.
func (a *account) remote(id fleet.InstanceID, incarnation fleet.Incarnation) *remote {
	o := a.remotes[id]
	if o == nil {
		o = &remote{incarnation: incarnation}
		a.remotes[id] = o
	}

	if o.incarnation != incarnation {
		o.incarnation = incarnation
		o.baseConsumed, o.baseDemand = o.consumed.total, o.demand.total
	}

	return o
}
