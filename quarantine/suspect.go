package quarantine

import "time"

// maxEnds bounds the ends that are remembered of one request: more than are needed to hold
// it off, so that those that were cleared are known again when they are told late.
const maxEnds = 16

// suspect is a request under which servers have ended.
type suspect struct {
	ends map[ServerKey]end
	// newest is when the last of them ended.
	newest time.Time
}

// end is the end of one server under a request.
type end struct {
	at       time.Time
	evidence Evidence
	// cleared ends do not count, seen ones were seen by this instance.
	cleared, seen bool
}

// take takes an end in, and tells whether that is news. One that was cleared stays so, and
// strong evidence is not weakened, whatever is told later: instances tell each other in any
// order, and more than once.
func (s *suspect) take(at time.Time, loss Loss, seen bool) bool {
	known, ok := s.ends[loss.Server]
	if ok && (known.cleared || !loss.Cleared && loss.Evidence <= known.evidence) {
		return false
	}

	if !ok && !s.room() {
		return false
	}

	if s.ends == nil {
		s.ends = make(map[ServerKey]end)
	}

	if ok {
		at, seen = known.at, seen || known.seen
	}

	s.ends[loss.Server] = end{at: at, evidence: loss.Evidence, cleared: loss.Cleared, seen: seen}

	if at.After(s.newest) {
		s.newest = at
	}

	return true
}

// room makes room for one more end among those that are cleared.
func (s *suspect) room() bool {
	if len(s.ends) < maxEnds {
		return true
	}

	for key, e := range s.ends {
		if e.cleared {
			delete(s.ends, key)

			return true
		}
	}

	return false
}

// count returns how many ends count against the request, and how many of them strongly.
func (s *suspect) count() (all, strong int) {
	for _, e := range s.ends {
		if e.cleared {
			continue
		}

		all++

		if e.evidence == Strong {
			strong++
		}
	}

	return all, strong
}

// heldUntil returns until when the request is held off; zero is not at all.
func (s *suspect) heldUntil() time.Time {
	if all, strong := s.count(); all < anyEnds && strong < strongEnds {
		return time.Time{}
	}

	return s.newest.Add(hold)
}
