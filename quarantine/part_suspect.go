package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashesPerPart and maxBeginsPerPart bound the events of one part. The newest are kept.
	maxCrashesPerPart = 32
	maxBeginsPerPart  = 40
)

// partSuspect is a part that stood at the begin of an answer when a server crashed.
type partSuspect struct {
	// events are the crashes, by server process, and the answers that began, in the order of time.
	events []partEvent
	// crashes and begins count them.
	crashes, begins int
	// lastCrash is the time of the newest crash.
	lastCrash time.Time
	// wholeSpan is the evidence of all events, once it was asked for.
	wholeSpan *evidenceSpan
}

// partEvent is a crash or a begin.
type partEvent struct {
	id uint64
	at time.Time
	// begun is set for a begin.
	begun bool
}

func (e partEvent) compare(other partEvent) int {
	return cmp.Or(e.at.Compare(other.at), compareBool(e.begun, other.begun), cmp.Compare(e.id, other.id))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// merge merges a report of an event at a time and reports whether it is new. Of several reports of an
// event the one with the earliest time is right: the way of a report takes time, and the age of a record
// may be known only in part.
func (s *partSuspect) merge(at time.Time, r PartReport) bool {
	if i := s.find(r.Event, r.Begun); i >= 0 {
		s.moveBack(i, at)

		return false
	}

	if s.full(r.Begun) && !s.dropOldest(at, r.Begun) {
		return false
	}

	s.insert(partEvent{id: r.Event, at: at, begun: r.Begun})

	if r.Begun {
		s.begins++

		return true
	}

	if s.crashes++; s.crashes == 1 || at.After(s.lastCrash) {
		s.lastCrash = at
	}

	return true
}

func (s *partSuspect) insert(e partEvent) {
	i, _ := slices.BinarySearchFunc(s.events, e, partEvent.compare)
	s.events, s.wholeSpan = slices.Insert(s.events, i, e), nil
}

// moveBack gives an event an earlier time.
func (s *partSuspect) moveBack(i int, at time.Time) {
	e := s.events[i]
	if !at.Before(e.at) {
		return
	}

	s.events = slices.Delete(s.events, i, i+1)
	e.at = at
	s.insert(e)
}

// find returns the index of a crash or begin, or -1 if it is not known.
func (s *partSuspect) find(id uint64, begun bool) int {
	return slices.IndexFunc(s.events, func(e partEvent) bool { return e.id == id && e.begun == begun })
}

func (s *partSuspect) full(begun bool) bool {
	if begun {
		return s.begins >= maxBeginsPerPart
	}

	return s.crashes >= maxCrashesPerPart
}

// dropOldest removes the oldest crash or begin to make room for one at a time, and reports whether
// that is newer.
func (s *partSuspect) dropOldest(at time.Time, begun bool) bool {
	i := slices.IndexFunc(s.events, func(e partEvent) bool { return e.begun == begun })
	if i < 0 || !s.events[i].at.Before(at) {
		return false
	}

	s.events = slices.Delete(s.events, i, i+1)

	if begun {
		s.begins--
	} else {
		s.crashes--
	}

	return true
}

// suspected reports whether answers that begin still change what the crashes say. It is the
// cumulative sum by which a change from sound to harmful is found: what came before the sum was
// last zero has no weight.
func (s *partSuspect) suspected() bool {
	sum := 0.0

	for _, e := range s.events {
		if e.begun {
			sum = max(sum+beginWeight, 0)
		} else {
			sum += crashWeight
		}
	}

	return sum > 0
}

// isCurrent reports whether a server crashed on the part recently enough for it to be held off.
func (s *partSuspect) isCurrent(now time.Time) bool { return now.Sub(s.lastCrash) < holdDuration }
