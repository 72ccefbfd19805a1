package quarantine

import "time"

// maxLossesPerSuspect bounds the losses that are remembered of one request. It exceeds the
// number needed for a quarantine, so that cleared losses are still recognized when they are
// received late.
const maxLossesPerSuspect = 16

// suspect is a request that ran on servers when they were lost.
type suspect struct {
	losses map[ServerKey]serverLoss
	// lastLoss is the time of the newest loss.
	lastLoss time.Time
}

// serverLoss is the loss of one server process on which the request ran.
type serverLoss struct {
	lostAt   time.Time
	evidence Evidence
	// cleared losses do not count; observed losses were observed by this instance.
	cleared, observed bool
}

// merge merges a loss and reports whether it changed the suspect. A cleared loss stays cleared
// and strong evidence stays strong, because messages arrive in any order and more than once.
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

// makeRoom reports whether there is room for another loss, and discards a cleared loss if
// needed.
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

// countLosses returns the number of losses that count against the request, and how many of
// them are strong.
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

// quarantinedUntil returns when the quarantine of the request ends, or the zero time if the
// request is not quarantined.
func (s *suspect) quarantinedUntil() time.Time {
	if all, strong := s.countLosses(); all < minLosses && strong < minStrongLosses {
		return time.Time{}
	}

	return s.lastLoss.Add(quarantineDuration)
}
