package quarantine

import "time"

// maxLossesPerSuspect bounds the ends that are remembered of one request: more than are needed to hold
// it off, so that those that were cleared are known again when they are told late.
const maxLossesPerSuspect = 16

// suspect is a request under which servers have ended.
type suspect struct {
	losses map[ServerKey]serverLoss
	// lastLoss is when the last of them ended.
	lastLoss time.Time
}

// serverLoss is the serverLoss of one server under a request.
type serverLoss struct {
	lostAt   time.Time
	evidence Evidence
	// cleared ends do not count, observed ones were observed by this instance.
	cleared, observed bool
}

// merge takes an end in, and tells whether that is news. One that was cleared stays so, and
// strong evidence is not weakened, whatever is told later: instances tell each other in any
// order, and more than once.
func (s *suspect) merge(at time.Time, loss Loss, observed bool) bool {
	known, ok := s.losses[loss.Server]
	if ok && (known.cleared || !loss.Cleared && loss.Evidence <= known.evidence) {
		return false
	}

	if !ok && !s.makeRoom() {
		return false
	}

	if s.losses == nil {
		s.losses = make(map[ServerKey]serverLoss)
	}

	if ok {
		at, observed = known.lostAt, observed || known.observed
	}

	s.losses[loss.Server] = serverLoss{lostAt: at, evidence: loss.Evidence, cleared: loss.Cleared, observed: observed}

	if at.After(s.lastLoss) {
		s.lastLoss = at
	}

	return true
}

// makeRoom makes makeRoom for one more end among those that are cleared.
func (s *suspect) makeRoom() bool {
	if len(s.losses) < maxLossesPerSuspect {
		return true
	}

	for key, e := range s.losses {
		if e.cleared {
			delete(s.losses, key)

			return true
		}
	}

	return false
}

// countLosses returns how many ends countLosses against the request, and how many of them strongly.
func (s *suspect) countLosses() (all, strong int) {
	for _, e := range s.losses {
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

// quarantinedUntil returns until when the request is held off; zero is not at all.
func (s *suspect) quarantinedUntil() time.Time {
	if all, strong := s.countLosses(); all < minLosses && strong < minStrongLosses {
		return time.Time{}
	}

	return s.lastLoss.Add(quarantineDuration)
}
