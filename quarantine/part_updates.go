package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Ready returns a channel that receives a value when there are reports to send.
func (p *Parts) Ready() <-chan struct{} { return p.wake.C() }

// PendingReports returns the reports to send to the peers now. The caller repeats the call at the
// interval of its messages until nothing is left.
func (p *Parts) PendingReports(now time.Time) []PartReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	reports := p.outbox.take()
	pending := make([]PartReport, 0, len(reports))

	for _, r := range reports {
		if s := p.suspects[r.Part]; s != nil {
			pending = append(pending, s.withAge(now, r))
		}
	}

	return pending
}

// withAge returns a report with the age of its event.
func (s *partSuspect) withAge(now time.Time, r PartReport) PartReport {
	at := s.crashes[r.Event].at
	if r.Begun {
		at = s.begins[r.Event]
	}

	r.AgeMs = uint32(min(max(now.Sub(at), 0), holdDuration).Milliseconds())

	return r
}

// StoredReports returns the reports for the stored record, which survives a failure of all
// instances and reaches instances that receive no messages: those of parts that are held off, and
// crashes that this instance observed recently.
func (p *Parts) StoredReports(now time.Time) []PartReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	var stored []PartReport

	if groups := p.held.Load(); groups != nil {
		for _, part := range slices.Concat(*groups...) {
			stored = append(stored, p.storedCrashes(now, part, func(partCrash) bool { return true })...)
		}
	}

	for _, part := range slices.Sorted(maps.Keys(p.suspects)) {
		stored = append(stored, p.storedCrashes(now, part, func(c partCrash) bool {
			return c.observed && now.Sub(c.at) <= storedLossTTL
		})...)
	}

	return stored[:min(len(stored), maxStoredReports)]
}

// storedCrashes returns reports of the oldest crashes of a part that are to be stored, each of
// another moment.
func (p *Parts) storedCrashes(now time.Time, part PartKey, include func(partCrash) bool) []PartReport {
	s := p.suspects[part]
	if s == nil {
		return nil
	}

	events := slices.SortedFunc(maps.Keys(s.crashes), func(a, b uint64) int { return s.crashes[a].at.Compare(s.crashes[b].at) })

	var (
		reports []PartReport
		last    time.Time
	)

	for _, event := range events {
		crash := s.crashes[event]
		if include(crash) && len(reports) < storedCrashes && crash.at.Sub(last) >= crashInterval {
			reports = append(reports, s.withAge(now, PartReport{Part: part, Event: event}))
			last = crash.at
		}
	}

	return reports
}
