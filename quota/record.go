package quota

import (
	"slices"
	"time"
)

// spend counts cost as spent by this instance.
func (q *Quota) spend(now time.Time, a *account, cost float64) {
	a.own.add(now, cost)
	a.known += cost
	q.tell(now, a)
}

// tell asks for a record if much was spent that none tells. While others hear this
// instance, it is enough that those record it who record for all.
func (q *Quota) tell(now time.Time, a *account) {
	if q.policy.RequestRecord == nil || q.recorded(now) {
		return
	}

	own := a.own.total-a.recorded > recordPart*q.untold(a)
	all := a.known-a.knownRecorded > recordPart*UnrecordedFraction*a.allowance.Amount

	if own || all && q.recorder() {
		q.policy.RequestRecord()
	}
}

// untold is this instance's part of what may be spent before it is recorded.
func (q *Quota) untold(a *account) float64 {
	held := q.held(a)
	part := 1 / float64(max(len(q.members), 1))

	if len(a.holders) > 0 {
		part = (1-reservePart)*part + held
	}

	return UnrecordedFraction * a.allowance.Amount * part
}

// recorder tells whether this instance records what all have spent.
func (q *Quota) recorder() bool {
	return len(q.recorders) == 0 || slices.Contains(q.recorders, q.policy.Self)
}

// RecordedByOthers tells whether others record what this instance spends: most of those that
// record for all hear it directly.
func (q *Quota) RecordedByOthers(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.recorded(now)
}

func (q *Quota) recorded(now time.Time) bool {
	if q.client {
		// It has spent nothing that is not a keeper's.
		return true
	}

	if q.policy.DirectDelay == nil || q.recorder() {
		return false
	}

	hear := 0
	span := q.policy.DirectDelay(len(q.members))

	for _, id := range q.recorders {
		if at, ok := q.heard[id]; ok && now.Sub(at) <= span {
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
	forAll, recorded := len(q.recorders) > 0 && q.recorder(), q.recorded(now)
	q.mu.Unlock()

	switch {
	case forAll:
		return q.recordOwn(now), q.recordAll(now)
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
			a.recorded = s.Total
			spent[i].Ages = a.own.ages(now, q.policy.Window)
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
		if a.ownAsked.total > 0 || a.own.total > 0 {
			all = append(all, Consumption{
				Account: name, Total: a.own.total, Recent: a.own.since(window), Asked: a.ownAsked.total,
			})
		}
	}

	return all
}
