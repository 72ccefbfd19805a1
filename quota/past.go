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
	runs []run
	// elapsed is the time from the first record to the newest.
	elapsed time.Duration
	// known is the newest record of what all have spent, and knownAt when that was.
	known   []GlobalConsumption
	knownAt time.Duration
}

// knownLife is the age up to which a record of what all have spent stands for all of
// it: those that record for all do so every two seconds, and sooner when much is spent.
const knownLife = 3 * time.Second

// run is one run of an instance.
type run struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	// clock is the run's own clock at its newest record, and elapsed when that was.
	clock   time.Time
	elapsed time.Duration
	spent   []Consumption
}

// Add takes a record in that a run made when its clock said at.
func (p *EarlierRecords) Add(
	id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, spent []Consumption, known []GlobalConsumption,
) {
	p.addRun(id, incarnation, at, spent)

	if len(known) > 0 {
		p.known, p.knownAt = known, p.elapsed
	}
}

func (p *EarlierRecords) addRun(id fleet.InstanceID, incarnation fleet.Incarnation, at time.Time, spent []Consumption) {
	for i := range p.runs {
		r := &p.runs[i]
		if r.instance != id || r.incarnation != incarnation {
			continue
		}

		p.elapsed = max(p.elapsed, r.elapsed+at.Sub(r.clock))
		r.clock, r.elapsed, r.spent = at, p.elapsed, spent

		return
	}

	p.runs = append(p.runs, run{instance: id, incarnation: incarnation, clock: at, elapsed: p.elapsed, spent: spent})
}

// Restore takes in what was recorded before this instance started. All instances
// may have ended since, each with its part of what is spent before it is recorded.
func (q *Quota) Restore(now time.Time, p *EarlierRecords) {
	if len(p.known) > 0 && p.elapsed-p.knownAt <= knownLife {
		q.inheritKnown(now, now.Add(p.knownAt-p.elapsed), p.known, p.runs)

		return
	}

	instances := make(map[fleet.InstanceID]bool)
	for _, r := range p.runs {
		instances[r.instance] = true
	}

	for _, r := range p.runs {
		q.RestoreInstance(r.instance, r.incarnation, now.Add(r.elapsed-p.elapsed), r.spent, UnrecordedFraction/float64(len(instances)))
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

		o := a.other(id, incarnation)
		o.spent.total = max(o.spent.total, o.baseSpent+s.Total-s.Recent)
		o.asked.total = max(o.asked.total, o.baseAsked+s.Asked-s.Recent)

		total := o.baseSpent + s.Total - s.Recent
		for i, part := range s.Ages {
			total += float64(part)
			o.spent.raise(q.youngest(at, i, len(s.Ages)), total)
		}

		o.spent.raise(at, o.baseSpent+s.Total+untold*a.allowance.Amount)
		o.asked.raise(at, o.baseAsked+s.Asked)
	}
}

// other returns what is known of another instance, whose run is a new one where it was
// not known yet or has another incarnation.
func (a *account) other(id fleet.InstanceID, incarnation fleet.Incarnation) *other {
	o := a.others[id]
	if o == nil {
		o = &other{incarnation: incarnation}
		a.others[id] = o
	}

	if o.incarnation != incarnation {
		o.incarnation = incarnation
		o.baseSpent, o.baseAsked = o.spent.total, o.asked.total
	}

	return o
}
