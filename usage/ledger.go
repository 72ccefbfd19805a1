package usage

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Policy sets when reports are made.
type Policy struct {
	// Width is the width of a window.
	Width time.Duration
	// SettleDelay is the time after the end of a window in which counts still come.
	SettleDelay time.Duration
	// MemberTimeout is how long a report waits for a member that has told nothing since
	// the end of the window.
	MemberTimeout time.Duration
	// ReportTTL is the time after the end of a window until which its report is of use.
	ReportTTL time.Duration
}

// Report is what is sent for a window.
type Report struct {
	Window Window                `msgpack:"window"`
	Counts map[fleet.Account]int `msgpack:"counts"`
}

// source is one run of one instance: a restarted one counts from zero again.
type source struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// Ledger is what one instance knows of all counts and reports. It is not safe for
// concurrent use.
type Ledger struct {
	policy Policy
	counts map[Window]map[source]map[fleet.Account]int
	// told is when an instance last told its counts.
	told  map[fleet.InstanceID]time.Time
	fixed map[Window]Report
	sent  map[Window]bool
	// begun is the first window of which this ledger can know all counts.
	begun Window
}

// NewLedger returns a ledger that knows nothing of the time before now.
func NewLedger(p Policy, now time.Time) *Ledger {
	return &Ledger{
		policy: p,
		counts: make(map[Window]map[source]map[fleet.Account]int),
		told:   make(map[fleet.InstanceID]time.Time),
		fixed:  make(map[Window]Report),
		sent:   make(map[Window]bool),
		begun:  WindowOf(now, p.Width),
	}
}

// AddCounts takes the counts of one instance in. They only grow: what is lower was overtaken on
// its way by what the instance told later.
func (l *Ledger) AddCounts(
	now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation, counts []Count,
) {
	l.told[id] = now
	from := source{instance: id, incarnation: incarnation}

	for _, c := range counts {
		if l.counts[c.Window] == nil {
			l.counts[c.Window] = make(map[source]map[fleet.Account]int)
		}

		if l.counts[c.Window][from] == nil {
			l.counts[c.Window][from] = make(map[fleet.Account]int)
		}

		counts := l.counts[c.Window][from]
		counts[c.Account] = max(counts[c.Account], c.Requests)
	}
}

// Finalize takes in that a report was fixed. The first one for a window counts.
func (l *Ledger) Finalize(r Report) {
	if _, ok := l.fixed[r.Window]; !ok {
		l.fixed[r.Window] = r
	}
}

// Finalized returns the reports of which an exact repeat may still be sent, for those that start
// after the platform lost where they stood.
func (l *Ledger) Finalized(now time.Time) []Report {
	var reports []Report

	for w, r := range l.fixed {
		if now.Before(w.End(l.policy.Width).Add(l.policy.ReportTTL)) {
			reports = append(reports, r)
		}
	}

	slices.SortFunc(reports, func(a, b Report) int { return int(a.Window - b.Window) })

	return reports
}

// MarkSent takes in that the report of a window was accepted.
func (l *Ledger) MarkSent(w Window) {
	l.sent[w] = true
}

// Unsent returns the fixed reports that are not known as accepted, the oldest first.
func (l *Ledger) Unsent(now time.Time) []Report {
	var reports []Report

	for w, r := range l.fixed {
		if !l.sent[w] && now.Before(w.End(l.policy.Width).Add(l.policy.ReportTTL)) {
			reports = append(reports, r)
		}
	}

	slices.SortFunc(reports, func(a, b Report) int { return int(a.Window - b.Window) })

	return reports
}

// Due returns the reports that should be fixed now. members are the instances
// whose counts are waited for.
func (l *Ledger) Due(now time.Time, members []fleet.InstanceID) []Report {
	l.forget(now)

	var due []Report

	for w := max(l.begun, WindowOf(now.Add(-l.policy.ReportTTL), l.policy.Width)); ; w++ {
		end := w.End(l.policy.Width)
		if now.Before(end.Add(l.policy.SettleDelay)) {
			return due
		}

		if _, ok := l.fixed[w]; ok || !now.Before(end.Add(l.policy.ReportTTL)) {
			continue
		}

		if now.Before(end.Add(l.policy.MemberTimeout)) && !l.heardAll(end, members) {
			continue
		}

		due = append(due, Report{Window: w, Counts: l.sum(w)})
	}
}

func (l *Ledger) heardAll(end time.Time, members []fleet.InstanceID) bool {
	for _, id := range members {
		if !l.told[id].After(end) {
			return false
		}
	}

	return true
}

func (l *Ledger) sum(w Window) map[fleet.Account]int {
	sum := make(map[fleet.Account]int)

	for _, counts := range l.counts[w] {
		for account, n := range counts {
			sum[account] += n
		}
	}

	return sum
}

// forget drops windows that can be reported no more.
func (l *Ledger) forget(now time.Time) {
	oldest := WindowOf(now.Add(-2*l.policy.ReportTTL), l.policy.Width)

	for w := range l.counts {
		if w < oldest {
			delete(l.counts, w)
		}
	}

	for w := range l.fixed {
		if w < oldest {
			delete(l.fixed, w)
			delete(l.sent, w)
		}
	}
}
