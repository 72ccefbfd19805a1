package quota

import (
	"slices"
	"time"
)

// consume adds cost to what this instance has consumed.
func (q *Quota) consume(now time.Time, a *account, cost float64) {
	a.consumed.add(now, cost)
	a.globalTotal += cost
	q.requestRecord(now, a)
}

// requestRecord requests a record if much was consumed that no record contains. While the
// recorders acknowledge the updates of this instance, their records are enough.
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

// unrecordedLimit is this instance's share of what may be consumed before it is recorded.
func (q *Quota) unrecordedLimit(a *account) float64 {
	reserve := q.reserveShare(a)
	fraction := 1 / float64(max(len(q.members), 1))

	if len(a.holders) > 0 {
		fraction = (1-reserveFraction)*fraction + reserve
	}

	return UnrecordedFraction * a.allowance.Amount * fraction
}

// isRecorder reports whether this instance records the consumption of all instances.
func (q *Quota) isRecorder() bool {
	return len(q.recorders) == 0 || slices.Contains(q.recorders, q.policy.Self)
}

// RecordedByOthers reports whether other instances record what this instance consumes: most
// recorders acknowledge its updates directly.
func (q *Quota) RecordedByOthers(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.recordedByOthers(now)
}

func (q *Quota) recordedByOthers(now time.Time) bool {
	if q.delegated {
		// All that it consumes is consumption of a coordinator.
		return true
	}

	if q.policy.DirectDelay == nil || q.isRecorder() {
		return false
	}

	acknowledged := 0
	delay := q.policy.DirectDelay(len(q.members))

	for _, id := range q.recorders {
		if at, ok := q.acknowledged[id]; ok && now.Sub(at) <= delay {
			acknowledged++
		}
	}

	return 2*acknowledged > len(q.recorders)
}

// Record returns the content of a durable record, which outlives this instance: what this
// instance has consumed, and what all instances have consumed as far as it knows. A recorder
// returns both. Another instance returns its own consumption, or nothing if the recorders
// acknowledge its updates.
func (q *Quota) Record(now time.Time) ([]Consumption, []GlobalConsumption) {
	q.mu.Lock()
	forAll, byOthers := len(q.recorders) > 0 && q.isRecorder(), q.recordedByOthers(now)
	q.mu.Unlock()

	switch {
	case forAll:
		return q.recordOwn(now), q.recordGlobal(now)
	case byOthers:
		return nil, nil
	default:
		return q.recordOwn(now), nil
	}
}

func (q *Quota) recordOwn(now time.Time) []Consumption {
	consumption := q.Consumption(now)

	q.mu.Lock()
	defer q.mu.Unlock()

	for i, s := range consumption {
		if a := q.accounts[s.Account]; a != nil {
			a.recordedTotal = s.Total
			consumption[i].Ages = a.consumed.buckets(now, q.policy.Window)
		}
	}

	return consumption
}

// Consumption returns what this instance has consumed since it started, to be published to the
// other instances.
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
