package quarantine

import (
	"slices"
	"time"
)

const (
	// crashInterval is the time within which crashes count as one: servers that crash at the same
	// moment have a cause in common, which lies in no request.
	crashInterval = 100 * time.Millisecond
	// minPartCrashes is the number of moments of crashes from which on a part may be held off.
	minPartCrashes = 3
	// maxPartCrashes is the number of crashes that operators tolerate of a part, from which on one that
	// is seldom sent may be held off, at whatever moments they were.
	maxPartCrashes = 5
	// crashWeight and beginWeight are the natural logarithms of the likelihood ratios of a crash
	// and a begin, between a part that crashes four of five servers and one that stands beside a
	// crash by chance one in twenty times. minEvidence is the least sum.
	crashWeight = 2.77
	beginWeight = -1.56
	minEvidence = 5
	// minCrashesPerBegin is how many crashes have to come for each answer that begins among them.
	minCrashesPerBegin = 2
)

// evidenceSpan is the latest time over which the events of a part speak most for its being harmful.
type evidenceSpan struct {
	// crashes are the servers that crashed in it, in the order of time.
	crashes []uint64
	begins  int
	moments int
	// evidence is how much more likely the events are if the part causes the crashes, as a logarithm.
	evidence float64
}

// whole returns the evidence of all crashes.
func (s *partSuspect) whole() evidenceSpan {
	if s.wholeSpan == nil {
		span := s.span(nil)
		s.wholeSpan = &span
	}

	return *s.wholeSpan
}

// span returns the evidence of the crashes that are not explained by another part. A part may turn
// harmful at any crash, so that what was before it is left out where that raises the evidence.
func (s *partSuspect) span(explained map[uint64]bool) evidenceSpan {
	var (
		best, seen evidenceSpan
		last       time.Time
	)

	for _, e := range slices.Backward(s.events) {
		switch {
		case e.begun:
			seen.begins++
			seen.evidence += beginWeight

			continue
		case explained[e.id]:
			continue
		}

		if seen.moments == 0 || last.Sub(e.at) >= crashInterval {
			seen.moments++
			last = e.at
		}

		seen.crashes = append(seen.crashes, e.id)
		seen.evidence += crashWeight

		if seen.evidence > best.evidence && len(seen.crashes) >= minCrashesPerBegin*seen.begins {
			best = seen
		}
	}

	best.crashes = slices.Clone(best.crashes)
	slices.Reverse(best.crashes)

	return best
}
