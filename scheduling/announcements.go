package scheduling

import (
	"sync"
	"sync/atomic"
	"time"
)

// announcements are what one start of a backend server announced in its answers. They hold
// for that start alone, and for as long as it runs.
type announcements struct {
	// leaving is final.
	leaving atomic.Bool
	// backoff is nil where the server never asked for one, or has taken a request since.
	backoff atomic.Pointer[backoff]

	mu sync.Mutex
	// limit is nil until the server announces a limit. It is replaced under mu.
	limit atomic.Pointer[limitState]
}

// setBackoff takes in that the server wants no requests for some time. The latest end counts:
// each answer binds by itself. It reports whether no earlier one was still in force.
func (a *announcements) setBackoff(now time.Time, duration time.Duration, policy ResumePolicy) bool {
	next := newBackoff(now.Add(duration), duration, policy)

	for {
		known := a.backoff.Load()
		if known != nil && !next.until.After(known.until) {
			return false
		}

		if a.backoff.CompareAndSwap(known, next) {
			return !known.active(now)
		}
	}
}

// inBackoff reports whether the server wants no requests now.
func (a *announcements) inBackoff(now time.Time) bool { return a.backoff.Load().active(now) }

// resumeAt is when requests are sent to the server again; zero where it never asked for
// backoff, or has taken a request since.
func (a *announcements) resumeAt() time.Time {
	if b := a.backoff.Load(); b != nil {
		return b.resumeAt
	}

	return time.Time{}
}

// AnnouncedLeaving takes in that an answer to this attempt announced that the server leaves.
func (a *Assignment) AnnouncedLeaving() {
	s := a.scheduler
	if !a.server.announcements.leaving.Swap(true) && s.OnLeaving != nil {
		s.OnLeaving(a.Server())
	}
}

// AnnouncedBackoff takes in that an answer to this attempt turned it away, and for how long
// the server wants no further requests from this instance.
func (a *Assignment) AnnouncedBackoff(now time.Time, backoff time.Duration) {
	s := a.scheduler
	if a.server.announcements.setBackoff(now, backoff, s.Resume) && s.OnBackoff != nil {
		s.OnBackoff(a.Server(), backoff)
	}
}

// Accepted takes in that the server took the request: requests are no longer held back where
// this one was to show that.
func (a *Assignment) Accepted() {
	if a.trial != nil {
		a.server.announcements.backoff.CompareAndSwap(a.trial, nil)
	}
}

// countServers returns how many known servers have a property.
func (s *Scheduler) countServers(has func(*server) bool) int {
	servers := s.byKey.Load()
	if servers == nil {
		return 0
	}

	n := 0

	for _, srv := range *servers {
		if has(srv) {
			n++
		}
	}

	return n
}

// LeavingServers returns how many known servers announced in an answer that they leave.
func (s *Scheduler) LeavingServers() int {
	return s.countServers(func(srv *server) bool { return srv.announcements.leaving.Load() })
}

// BackoffServers returns how many known servers want no requests of this instance now.
func (s *Scheduler) BackoffServers(now time.Time) int {
	return s.countServers(func(srv *server) bool { return srv.announcements.inBackoff(now) })
}

// countSend counts a send that the server announced it does not want.
func (s *Scheduler) countSend(now time.Time, srv *server) {
	if srv.announcements.leaving.Load() {
		s.Counters.sentToLeaving()
	}

	if srv.announcements.inBackoff(now) {
		s.Counters.sentInBackoff()
	}
}
