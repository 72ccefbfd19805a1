package scheduling

import (
	"sync/atomic"
	"time"
)

// announcements are what one start of a backend server said of itself in its answers to
// this instance. They hold for that start alone, and for as long as it runs.
type announcements struct {
	// leaving is final.
	leaving atomic.Bool
	// backoff is when the server takes requests of this instance again, in Unix
	// nanoseconds; zero where it never asked.
	backoff atomic.Int64
}

// askBackoff takes in until when the server wants no requests. The latest time counts: each
// answer binds by itself. It reports whether no earlier one was still in force.
func (a *announcements) askBackoff(now, until time.Time) bool {
	for {
		known := a.backoff.Load()
		if until.UnixNano() <= known {
			return false
		}

		if a.backoff.CompareAndSwap(known, until.UnixNano()) {
			return now.UnixNano() >= known
		}
	}
}

// backoffUntil returns until when the server wants no requests; a time long ago where it
// never asked.
func (a *announcements) backoffUntil() time.Time { return time.Unix(0, a.backoff.Load()) }

// inBackoff reports whether the server wants no requests now.
func (a *announcements) inBackoff(now time.Time) bool {
	return now.UnixNano() < a.backoff.Load()
}

// AnnouncedLeaving takes in that an answer to this attempt said that the server leaves.
func (a *Assignment) AnnouncedLeaving() {
	s := a.scheduler
	if !a.server.said.leaving.Swap(true) && s.OnLeaving != nil {
		s.OnLeaving(a.Server())
	}
}

// AskedToBackOff takes in that an answer to this attempt turned it away, and for how long
// the server wants no further requests from this instance.
func (a *Assignment) AskedToBackOff(now time.Time, backoff time.Duration) {
	s := a.scheduler
	if a.server.said.askBackoff(now, now.Add(backoff)) && s.OnBackoff != nil {
		s.OnBackoff(a.Server(), backoff)
	}
}

// countServers returns how many known servers have a property.
func (s *Scheduler) countServers(has func(*server) bool) int {
	servers := s.byKey.Load()
	if servers == nil {
		return 0
	}

	n := 0

	for _, one := range *servers {
		if has(one) {
			n++
		}
	}

	return n
}

// LeavingServers returns how many known servers announced in an answer that they leave.
func (s *Scheduler) LeavingServers() int {
	return s.countServers(func(one *server) bool { return one.said.leaving.Load() })
}

// BackoffServers returns how many known servers want no requests of this instance now.
func (s *Scheduler) BackoffServers(now time.Time) int {
	return s.countServers(func(one *server) bool { return one.said.inBackoff(now) })
}

// noteSend counts a send that the server announced it does not want.
func (s *Scheduler) noteSend(now time.Time, one *server) {
	if one.said.leaving.Load() {
		s.Counters.sentToLeaving()
	}

	if one.said.inBackoff(now) {
		s.Counters.sentInBackoff()
	}
}
