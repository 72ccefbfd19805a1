package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// storedSuspectTTL is how long the evidence on a part that isn't held off is stored, whoever observed
// it.
const storedSuspectTTL = 10 * time.Minute

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
		s := p.suspects[r.Part]
		if s == nil {
			continue
		}

		if i := s.find(r.Event, r.Begun); i >= 0 {
			pending = append(pending, s.events[i].report(now, r.Part))
		}
	}

	return pending
}

// report returns a report of an event of a part, with its age.
func (e partEvent) report(now time.Time, part PartKey) PartReport {
	age := min(max(now.Sub(e.at), 0), holdDuration)

	return PartReport{Part: part, Event: e.id, Begun: e.begun, AgeMs: uint32(age.Milliseconds())}
}

// StoredReports returns the reports for the stored record, which survives a failure of all
// instances and reaches instances that receive no messages: those by which parts are held off, and
// those that may hold further parts off, the strongest first.
func (p *Parts) StoredReports(now time.Time) []PartReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	var stored []PartReport

	grouped := make(map[PartKey]bool)

	for _, group := range p.groups {
		for _, part := range group.parts {
			grouped[part] = true
			stored = append(stored, p.storedEvents(now, part, group.crashes)...)
		}
	}

	for _, candidate := range p.storedSuspects(now) {
		if !grouped[candidate.part] {
			stored = append(stored, p.storedEvents(now, candidate.part, candidate.span.crashes)...)
		}
	}

	return stored[:min(len(stored), maxStoredReports)]
}

type storedSuspect struct {
	part PartKey
	span evidenceSpan
}

// storedSuspects returns the parts whose evidence is to be stored, also if they aren't held off.
func (p *Parts) storedSuspects(now time.Time) []storedSuspect {
	var suspects []storedSuspect

	for part, s := range p.suspects {
		if span := s.whole(); now.Sub(s.lastCrash) <= storedSuspectTTL && len(span.crashes) > 0 {
			suspects = append(suspects, storedSuspect{part: part, span: span})
		}
	}

	slices.SortFunc(suspects, func(a, b storedSuspect) int {
		return cmp.Or(cmp.Compare(b.span.evidence, a.span.evidence), cmp.Compare(a.part, b.part))
	})

	return suspects
}

// storedEvents returns reports of crashes of a part that are to be stored, those of different moments
// first, and of the answers that began among them.
func (p *Parts) storedEvents(now time.Time, part PartKey, crashes []uint64) []PartReport {
	s := p.suspects[part]
	if s == nil {
		return nil
	}

	var apart, together []PartReport

	last := time.Time{}

	for _, e := range s.events {
		switch {
		case e.begun || !slices.Contains(crashes, e.id):
		case e.at.Sub(last) >= crashInterval:
			apart, last = append(apart, e.report(now, part)), e.at
		default:
			together = append(together, e.report(now, part))
		}
	}

	reports := slices.Concat(apart, together)
	reports = reports[:min(len(reports), storedCrashes)]

	return append(reports, s.storedBegins(now, part, len(reports)/minCrashesPerBegin)...)
}

// storedBegins returns reports of the newest begins among the crashes of a part, at most n.
func (s *partSuspect) storedBegins(now time.Time, part PartKey, n int) []PartReport {
	var reports []PartReport

	for _, e := range slices.Backward(s.events) {
		if e.begun && len(reports) < min(n, s.whole().begins) {
			reports = append(reports, e.report(now, part))
		}
	}

	return reports
}
