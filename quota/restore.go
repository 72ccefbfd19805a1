package quota

import (
	"time"

	"monsoonlever/fleet"
)

// EarlierRecords collects what was recorded before an instance started, in the order of the
// records. Of each run of an instance the newest record counts; one run does not
// replace the one before, whose spending still counts in the window. The zero value is
// empty.
//
// How old a record is follows from other records: the clock of one run tells the time
// between two of its own. Times of day may jump and differ. Where no run has a record
// on both sides of a gap, the gap counts as no time, which keeps spending in the window
// for longer than it is.
type EarlierRecords struct {
	incarnations []incarnationRecord
	// elapsed is the time from the first record to the newest.
	elapsed time.Duration
	// global is the newest record of what all have spent, and knownAt when that was.
	global   []GlobalConsumption
	globalAt time.Duration
}

// globalRecordTTL is the age up to which a record of what all have spent stands for all of
// it: those that record for all do so every two seconds, and sooner when much is spent.
const globalRecordTTL = 3 * time.Second

// incarnationRecord is one incarnationRecord of an instance.
type incarnationRecord struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	// recordedAt is the run's own recordedAt at its newest record, and elapsed when that was.
	recordedAt  time.Time
	elapsed     time.Duration
	consumption []Consumption
}

// Add takes a record in that a run made when its clock said at.
func (p *EarlierRecords) Add(
	id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, spent []Consumption, known []GlobalConsumption,
) {
	p.addIncarnation(id, incarnation, at, spent)

	if len(known) > 0 {
		p.global, p.globalAt = known, p.elapsed
	}
}

func (p *EarlierRecords) addIncarnation(id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, spent []Consumption) {
	for i := range p.incarnations {
		r := &p.incarnations[i]
		if r.instance != id || r.incarnation != incarnation {
			continue
		}

		p.elapsed = max(p.elapsed, r.elapsed+at.Sub(r.recordedAt))
		r.recordedAt, r.elapsed, r.consumption = at, p.elapsed, spent

		return
	}

	p.incarnations = append(p.incarnations, incarnationRecord{instance: id, incarnation: incarnation, recordedAt: at, elapsed: p.elapsed, consumption: spent})
}

// Restore takes in what was recorded before this instance started. All instances
// may have ended since, each with its part of what is spent before it is recorded.
func (q *Quota) Restore(now time.Time, p *EarlierRecords) {
	if len(p.global) > 0 && p.elapsed-p.globalAt <= globalRecordTTL {
		q.restoreGlobal(now, now.Add(p.globalAt-p.elapsed), p.global, p.incarnations)

		return
	}

	instances := make(map[fleet.InstanceID]bool)
	for _, r := range p.incarnations {
		instances[r.instance] = true
	}

	for _, r := range p.incarnations {
		q.RestoreInstance(r.instance, r.incarnation, now.Add(r.elapsed-p.elapsed), r.consumption, UnrecordedFraction/float64(len(instances)))
	}
}

// RestoreInstance takes in what an instance had recorded at a time before this one started. It
// may have ended since; untold is the part of each allowance that it may have spent
// after that without telling anybody.
func (q *Quota) RestoreInstance(id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, spent []Consumption, untold float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, s := range spent {
		a := q.accounts[s.Account]
		if a == nil {
			continue
		}

		o := a.remote(id, incarnation)
		o.consumed.total = max(o.consumed.total, o.baseConsumed+s.Total-s.Recent)
		o.demand.total = max(o.demand.total, o.baseDemand+s.Asked-s.Recent)

		total := o.baseConsumed + s.Total - s.Recent
		for i, part := range s.Ages {
			total += float64(part)
			o.consumed.raiseTo(q.bucketEnd(at, i, len(s.Ages)), total)
		}

		o.consumed.raiseTo(at, o.baseConsumed+s.Total+untold*a.allowance.Amount)
		o.demand.raiseTo(at, o.baseDemand+s.Asked)
	}
}

// remote returns what is known of another instance, whose run is a new one where it was
// not known yet or has another incarnation.
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
