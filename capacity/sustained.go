package capacity

import "time"

// sustained holds the recent needs that no later one has fallen below. Its entries are in order of
// rising numbers and rising times. The zero value is empty.
type sustained struct {
	entries []timedNeed
}

type timedNeed struct {
	need
	at time.Time
}

// add adds a need and returns the lowest one within a window.
func (s *sustained) add(now time.Time, added need, window time.Duration) need {
	n := len(s.entries)
	for n > 0 && s.entries[n-1].servers >= added.servers {
		n--
	}

	s.entries = append(s.entries[:n], timedNeed{need: added, at: now})

	for len(s.entries) > 1 && now.Sub(s.entries[0].at) > window {
		s.entries = s.entries[1:]
	}

	return s.entries[0].need
}
