package placement

import (
	"slices"
	"time"

	"monsoonlever/lease"
)

// Ledger builds the set of open intents from the grants and intent records, in
// log order. Processes that read the same log have equal ledgers.
type Ledger struct {
	fence                lease.Fence
	sequence             uint64
	intents              map[Token]Intent
	voluntaryPurchases   []time.Time
	voluntaryRetirements []time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{intents: make(map[Token]Intent)}
}

// Grant applies a grant of the controller role, in log order.
func (l *Ledger) Grant(fence lease.Fence) {
	if fence <= l.fence {
		return
	}

	l.fence = fence
	l.sequence = 0
}

// Apply applies one record and reports whether it is valid.
func (l *Ledger) Apply(r Record) bool {
	if r.Fence != l.fence || r.Sequence <= l.sequence {
		return false
	}

	l.sequence = r.Sequence

	if r.Step == StepBuy {
		l.recordVoluntaryChange(r)
		l.intents[r.Token] = Intent{Token: r.Token, Service: r.Service, Cell: r.Cell}

		return true
	}

	intent, ok := l.intents[r.Token]
	if !ok {
		return false
	}

	switch r.Step {
	case StepRetire:
		intent.Retired = true
		l.intents[r.Token] = intent
		l.recordVoluntaryChange(r)
	case StepClose:
		delete(l.intents, r.Token)
	default:
		return false
	}

	return true
}

// Intents returns the intents that are not closed, oldest first.
func (l *Ledger) Intents() []Intent {
	result := make([]Intent, 0, len(l.intents))
	for _, intent := range l.intents {
		result = append(result, intent)
	}

	slices.SortFunc(result, func(a, b Intent) int { return a.Token.less(b.Token) })

	return result
}

// VoluntaryPurchases counts the purchases made only to save money in
// the hour before now.
func (l *Ledger) VoluntaryPurchases(now time.Time) int {
	return countLastHour(l.voluntaryPurchases, now)
}

// VoluntaryRetirements counts the voluntary retirements in the hour before
// now.
func (l *Ledger) VoluntaryRetirements(now time.Time) int {
	return countLastHour(l.voluntaryRetirements, now)
}

func (l *Ledger) recordVoluntaryChange(r Record) {
	if !r.Voluntary {
		return
	}

	if r.Step == StepBuy {
		l.voluntaryPurchases = append(removeOlderThanHour(l.voluntaryPurchases, r.At), r.At)

		return
	}

	l.voluntaryRetirements = append(removeOlderThanHour(l.voluntaryRetirements, r.At), r.At)
}

func countLastHour(changes []time.Time, now time.Time) int {
	count := 0

	for _, at := range changes {
		if now.Sub(at) < time.Hour {
			count++
		}
	}

	return count
}

func removeOlderThanHour(changes []time.Time, now time.Time) []time.Time {
	return slices.DeleteFunc(changes, func(at time.Time) bool {
		return now.Sub(at) >= time.Hour
	})
}

// Fence returns the newest grant that was read.
func (l *Ledger) Fence() lease.Fence {
	return l.fence
}

// Snapshot returns the ledger for a checkpoint.
func (l *Ledger) Snapshot() Snapshot {
	return Snapshot{
		Fence:                l.fence,
		Sequence:             l.sequence,
		Intents:              l.Intents(),
		VoluntaryPurchases:   slices.Clone(l.voluntaryPurchases),
		VoluntaryRetirements: slices.Clone(l.voluntaryRetirements),
	}
}

// Restore replaces the ledger by a checkpoint.
func (l *Ledger) Restore(s Snapshot) {
	l.fence = s.Fence
	l.sequence = s.Sequence
	l.voluntaryPurchases = slices.Clone(s.VoluntaryPurchases)
	l.voluntaryRetirements = slices.Clone(s.VoluntaryRetirements)
	l.intents = make(map[Token]Intent, len(s.Intents))

	for _, intent := range s.Intents {
		l.intents[intent.Token] = intent
	}
}
