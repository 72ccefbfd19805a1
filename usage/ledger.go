package usage

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Policy sets when reports of a window become due and when they expire.
type Policy struct {
	// Width is the duration of a window.
	Width time.Duration
	// SettleDelay is the time after the end of a window during which counts still arrive.
	SettleDelay time.Duration
	// MemberTimeout is how long after the end of a window its report waits for members that
	// have not sent counts since that end.
	MemberTimeout time.Duration
	// ReportTTL is the time after the end of a window at which its report expires.
	ReportTTL time.Duration
}

// Report holds the number of requests of each client account in one window, as it is sent to
// the platform.
type Report struct {
	Window Window                `msgpack:"window"`
	Counts map[fleet.Account]int `msgpack:"counts"`
}

// source identifies one process of an instance. A restarted instance counts from zero again.
type source struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// Ledger holds the counts and reports that one instance has received. It is not safe for
// concurrent use.
type Ledger struct {
	policy Policy
	counts map[Window]map[source]map[fleet.Account]int
	// lastUpdate is when counts were last received from each instance.
	lastUpdate map[fleet.InstanceID]time.Time
	finalized  map[Window]Report
	sent       map[Window]bool
	// firstWindow is the first window whose counts this ledger can receive in full.
	firstWindow Window
}

// NewLedger returns an empty ledger that reports no window before the one that contains now.
func NewLedger(p Policy, now time.Time) *Ledger {
	return &Ledger{
		policy:      p,
		counts:      make(map[Window]map[source]map[fleet.Account]int),
		lastUpdate:  make(map[fleet.InstanceID]time.Time),
		finalized:   make(map[Window]Report),
		sent:        make(map[Window]bool),
		firstWindow: WindowOf(now, p.Width),
	}
}

// AddCounts merges the counts of one instance. Counts only grow, so a lower one comes from an
// older message that arrived after a newer one, and is ignored.
func (l *Ledger) AddCounts(
	now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation, counts []Count,
) {
	l.lastUpdate[id] = now
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

// Finalize records the final report of a window. Later reports for the same window are
// ignored.
func (l *Ledger) Finalize(r Report) {
	if _, ok := l.finalized[r.Window]; !ok {
		l.finalized[r.Window] = r
	}
}

// Finalized returns the final reports that have not expired, the oldest first. They are
// recorded again after the log was restored from an older copy, so that an instance that
// starts later can still send exact repeats.
func (l *Ledger) Finalized(now time.Time) []Report {
	var reports []Report

	for w, r := range l.finalized {
		if now.Before(w.End(l.policy.Width).Add(l.policy.ReportTTL)) {
			reports = append(reports, r)
		}
	}

	slices.SortFunc(reports, func(a, b Report) int { return int(a.Window - b.Window) })

	return reports
}

// MarkSent records that the platform accepted the report of a window.
func (l *Ledger) MarkSent(w Window) {
	l.sent[w] = true
}

// Unsent returns the final reports that have not expired and are not known to be accepted, the
// oldest first.
func (l *Ledger) Unsent(now time.Time) []Report {
	var reports []Report

	for w, r := range l.finalized {
		if !l.sent[w] && now.Before(w.End(l.policy.Width).Add(l.policy.ReportTTL)) {
			reports = append(reports, r)
		}
	}

	slices.SortFunc(reports, func(a, b Report) int { return int(a.Window - b.Window) })

	return reports
}

// Due returns the reports to finalize now. A report waits until all members have sent their
// counts, but no longer than MemberTimeout.
func (l *Ledger) Due(now time.Time, members []fleet.InstanceID) []Report {
	l.expire(now)

	var due []Report

	for w := max(l.firstWindow, WindowOf(now.Add(-l.policy.ReportTTL), l.policy.Width)); ; w++ {
		end := w.End(l.policy.Width)
		if now.Before(end.Add(l.policy.SettleDelay)) {
			return due
		}

		if _, ok := l.finalized[w]; ok || !now.Before(end.Add(l.policy.ReportTTL)) {
			continue
		}

		if now.Before(end.Add(l.policy.MemberTimeout)) && !l.updatedSince(end, members) {
			continue
		}

		due = append(due, Report{Window: w, Counts: l.sum(w)})
	}
}

// updatedSince reports whether all members have sent counts after a time.
func (l *Ledger) updatedSince(end time.Time, members []fleet.InstanceID) bool {
	for _, id := range members {
		if !l.lastUpdate[id].After(end) {
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

// expire removes windows that ended at least twice ReportTTL ago.
func (l *Ledger) expire(now time.Time) {
	oldest := WindowOf(now.Add(-2*l.policy.ReportTTL), l.policy.Width)

	for w := range l.counts {
		if w < oldest {
			delete(l.counts, w)
		}
	}

	for w := range l.finalized {
		if w < oldest {
			delete(l.finalized, w)
			delete(l.sent, w)
		}
	}
}
