package quota

import (
	"slices"
	"time"
)

// consume counts cost as spent by this instance.
func (q *Quota) consume(now time.Time, a *account, cost float64) {
	a.consumed.add(now, cost)
	a.globalTotal += cost
	q.requestRecord(now, a)
}

// requestRecord asks for a record if much was spent that none tells. While others hear this
// instance, it is enough that those record it who record for all.
func (q *Quota) requestRecord(now time.Time, a *account) {
	if q.policy.RequestRecord == nil || q.recordedByOthers(now) {
		return
	}

	own := a.consumed.total-a.recordedTotal > recordThreshold*q.unrecordedLimit(a)
	all := a.globalTotal-a.globalRecorded > recordThreshold*UnrecordedFraction*a.allowance.Amount

	if own || all && q.isRecorder() {
		q.policy.RequestRecord()
	}
}

// unrecordedLimit is this instance's part of what may be spent before it is recorded.
func (q *Quota) unrecordedLimit(a *account) float64 {
	held := q.reserveShare(a)
	part := 1 / float64(max(len(q.members), 1))

	if len(a.holders) > 0 {
		part = (1-reserveFraction)*part + held
	}

	return UnrecordedFraction * a.allowance.Amount * part
}

// isRecorder tells whether this instance records what all have spent.
func (q *Quota) isRecorder() bool {
	return len(q.recorders) == 0 || slices.Contains(q.recorders, q.policy.Self)
}

// RecordedByOthers tells whether others record what this instance spends: most of those that
// record for all hear it directly.
func (q *Quota) RecordedByOthers(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.recordedByOthers(now)
}

func (q *Quota) recordedByOthers(now time.Time) bool {
	if q.delegated {
		// It has spent nothing that is not a keeper's.
		return true
	}

	if q.policy.DirectDelay == nil || q.isRecorder() {
		return false
	}

	hear := 0
	span := q.policy.DirectDelay(len(q.members))

	for _, id := range q.recorders {
		if at, ok := q.acknowledged[id]; ok && now.Sub(at) <= span {
			hear++
		}
	}

	return 2*hear > len(q.recorders)
}

// Record returns what a record that outlives this instance should tell: what this
// instance has spent, and what all have, as far as it is known here. One that others
// hear leaves both to those that record for all.
func (q *Quota) Record(now time.Time) ([]Consumption, []GlobalConsumption) {
	q.mu.Lock()
	forAll, recorded := len(q.recorders) > 0 && q.isRecorder(), q.recordedByOthers(now)
	q.mu.Unlock()

	switch {
	case forAll:
		return q.recordOwn(now), q.recordGlobal(now)
	case recorded:
		return nil, nil
	default:
		return q.recordOwn(now), nil
	}
}

func (q *Quota) recordOwn(now time.Time) []Consumption {
	spent := q.Consumption(now)

	q.mu.Lock()
	defer q.mu.Unlock()

	for i, s := range spent {
		if a := q.accounts[s.Account]; a != nil {
			a.recordedTotal = s.Total
			spent[i].Ages = a.consumed.buckets(now, q.policy.Window)
		}
	}

	return spent
}

// Consumption returns what this instance has spent since its start, for the others.
func (q *Quota) Consumption(now time.Time) []Consumption {
	q.mu.Lock()
	defer q.mu.Unlock()

	var all []Consumption

	window := now.Add(-q.policy.Window)

	for name, a := range q.accounts {
		if a.demand.total > 0 || a.consumed.total > 0 {
			all = append(all, Consumption{
				Account: name, Total: a.consumed.total, Recent: a.consumed.since(window), Asked: a.demand.total,
			})
		}
	}

	return all
}
