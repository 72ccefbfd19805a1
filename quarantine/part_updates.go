package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// storedSuspectTTL is how long the evidence on a part that isn't held off is stored.
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

// storedSuspects returns the parts that aren't held off and whose evidence is to be stored: that of
// several crashes, or of one that this instance observed recently.
func (p *Parts) storedSuspects(now time.Time) []storedSuspect {
	var suspects []storedSuspect

	for part, s := range p.suspects {
		age := now.Sub(s.lastCrash)
		if age > storedSuspectTTL {
			continue
		}

		span := s.whole()
		observed := age <= storedLossTTL && slices.ContainsFunc(span.crashes, func(event uint64) bool { return s.crashes[event].observed })

		if len(span.crashes) > 1 || observed {
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

	var apart, together, reports []PartReport

	last := time.Time{}

	for _, e := range s.events {
		r := s.withAge(now, PartReport{Part: part, Event: e.id, Begun: e.begun})

		switch {
		case e.begun || !slices.Contains(crashes, e.id):
		case e.at.Sub(last) >= crashInterval:
			apart, last = append(apart, r), e.at
		default:
			together = append(together, r)
		}
	}

	reports = append(apart, together...)
	reports = reports[:min(len(reports), storedCrashes)]

	return append(reports, s.storedBegins(now, part, len(reports)/minCrashesPerBegin)...)
}

// storedBegins returns reports of the newest begins of a part since it was sound, at most n.
func (s *partSuspect) storedBegins(now time.Time, part PartKey, n int) []PartReport {
	var reports []PartReport

	for _, e := range slices.Backward(s.events) {
		if e.begun && len(reports) < min(n, s.whole().begins) {
			reports = append(reports, s.withAge(now, PartReport{Part: part, Event: e.id, Begun: true}))
		}
	}

	return reports
}
