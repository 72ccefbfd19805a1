package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashShare is the share of the crashes at some moments at which a part has to stand to explain
	// them all.
	minCrashShare = 0.8
	// minCompanionBegins is the number of answers that begin on another part of the same crashes, for one
	// more than on a part itself, from which on the part is known to be seldom sent.
	minCompanionBegins = 8
)

// conclusive reports whether the evidence is enough to hold a part off.
func (d *decision) conclusive(s *partSuspect, span evidenceSpan) bool {
	switch {
	case span.evidence < minEvidence:
		return false
	case span.moments >= minPartCrashes:
		return true
	default:
		return len(span.crashes) >= maxPartCrashes && d.explainsMoments(s, span) && d.seldomSent(s, span)
	}
}

// explainsMoments reports whether hardly any server crashed without a part at the moments of its crashes.
// Servers that lose their power, for example, crash with all parts that are sent.
func (d *decision) explainsMoments(s *partSuspect, span evidenceSpan) bool {
	all, times := len(span.crashes), s.timesOf(span.crashes)

	for event, at := range d.crashTimes() {
		if isNear(at, times) && !d.explained[event] && s.find(event, false) < 0 {
			all++
		}
	}

	return float64(len(span.crashes)) >= minCrashShare*float64(all)
}

// crashTimes returns the times of the crashes at which any part stood.
func (d *decision) crashTimes() map[uint64]time.Time {
	if d.crashes != nil {
		return d.crashes
	}

	d.crashes = make(map[uint64]time.Time)

	for _, s := range d.suspects {
		for _, e := range s.events {
			if at, known := d.crashes[e.id]; !e.begun && (!known || e.at.Before(at)) {
				d.crashes[e.id] = e.at
			}
		}
	}

	return d.crashes
}

// timesOf returns the times of some crashes of the part.
func (s *partSuspect) timesOf(crashes []uint64) []time.Time {
	times := make([]time.Time, 0, len(crashes))
	for _, event := range crashes {
		times = append(times, s.events[s.find(event, false)].at)
	}

	return times
}

// isNear reports whether a time is at the same moment as one of others.
func isNear(at time.Time, others []time.Time) bool {
	return slices.ContainsFunc(others, func(other time.Time) bool { return other.Sub(at).Abs() < crashInterval })
}

// seldomSent reports whether answers have begun since the crashes on another part that stood at them,
// and hardly any on the part itself.
func (d *decision) seldomSent(s *partSuspect, span evidenceSpan) bool {
	first := s.timesOf(span.crashes[:1])[0]
	least := minCompanionBegins * (1 + s.beginsAfter(first))

	for _, other := range d.suspects {
		if other.beginsAfter(first) >= least && float64(other.crashesAmong(span.crashes)) >= minCrashShare*float64(len(span.crashes)) {
			return true
		}
	}

	return false
}

// beginsAfter returns the number of answers that began on the part after a time.
func (s *partSuspect) beginsAfter(t time.Time) int {
	n := 0

	for _, e := range slices.Backward(s.events) {
		if !e.at.After(t) {
			break
		}

		if e.begun {
			n++
		}
	}

	return n
}

// crashesAmong returns the number of some crashes at which the part stood.
func (s *partSuspect) crashesAmong(crashes []uint64) int {
	n := 0

	for _, event := range crashes {
		if s.find(event, false) >= 0 {
			n++
		}
	}

	return n
}
