package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCrashesPerPart and maxBeginsPerPart bound the events of one part. Begins that fill their
	// bound clear it for good.
	maxCrashesPerPart = 32
	maxBeginsPerPart  = 40
	// crashInterval is the time within which crashes count as one: servers that crash at the same
	// moment have a cause in common, which lies in no request.
	crashInterval = 100 * time.Millisecond
	// minPartCrashes is the number of moments of crashes from which on a part may be held off.
	minPartCrashes = 3
	// crashWeight and beginWeight are the natural logarithms of the likelihood ratios of a crash
	// and a begin, between a part that crashes four of five servers and one that stands beside a
	// crash by chance one in twenty times. minEvidence is the least sum.
	crashWeight = 2.77
	beginWeight = -1.56
	minEvidence = 5
)

// partSuspect is a part that stood at the begin of an answer when a server crashed.
type partSuspect struct {
	// crashes are the times of the crashes by server process, and begins the answers that began.
	crashes map[uint64]partCrash
	begins  map[uint64]struct{}
	// lastCrash is the time of the newest crash.
	lastCrash time.Time
}

type partCrash struct {
	at time.Time
	// observed is set if this instance observed the crash.
	observed bool
}

// merge merges a report and reports whether it is new.
func (s *partSuspect) merge(at time.Time, r PartReport, observed bool) bool {
	if r.Begun {
		if _, known := s.begins[r.Event]; known || len(s.begins) >= maxBeginsPerPart {
			return false
		}

		s.begins[r.Event] = struct{}{}

		return true
	}

	if _, known := s.crashes[r.Event]; known || len(s.crashes) >= maxCrashesPerPart {
		return false
	}

	s.crashes[r.Event] = partCrash{at: at, observed: observed}

	if at.After(s.lastCrash) {
		s.lastCrash = at
	}

	return true
}

// unexplained returns the crashes that no other part explains.
func (s *partSuspect) unexplained(explained map[uint64]bool) []uint64 {
	events := make([]uint64, 0, len(s.crashes))

	for event := range s.crashes {
		if !explained[event] {
			events = append(events, event)
		}
	}

	slices.Sort(events)

	return events
}

// moments returns the number of moments at which servers crashed.
func (s *partSuspect) moments(events []uint64) int {
	times := make([]time.Time, 0, len(events))
	for _, event := range events {
		times = append(times, s.crashes[event].at)
	}

	slices.SortFunc(times, time.Time.Compare)

	moments := 0
	last := time.Time{}

	for _, at := range times {
		if moments == 0 || at.Sub(last) >= crashInterval {
			moments++
			last = at
		}
	}

	return moments
}

// evidence returns how much more likely the crashes and begins are if the part causes the crashes,
// as a logarithm. It is zero for a part that began at least as often.
func (s *partSuspect) evidence(events []uint64) float64 {
	crashes, begins := len(events), len(s.begins)
	if crashes <= begins || s.moments(events) < minPartCrashes {
		return 0
	}

	return max(0, crashWeight*float64(crashes)+beginWeight*float64(begins))
}
