package scheduling

import (
	"sync"
	"sync/atomic"
	"time"
)

// announcements are what one process of a backend server announced in its answers. They apply
// to that process only, until it terminates.
type announcements struct {
	// leaving is never unset.
	leaving atomic.Bool
	// backoff is nil if the server never requested one, or has accepted a request since.
	backoff atomic.Pointer[backoff]

	// brittle is nil if the server never said that it is brittle.
	brittle atomic.Pointer[brittleness]

	mu sync.Mutex
	// limit is nil until the server announces a limit. It is replaced under mu.
	limit atomic.Pointer[limitState]
}

// setBackoff records that the server requested a backoff. The latest end counts, since each
// answer is binding by itself. It reports whether no earlier backoff was in force.
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

// inBackoff reports whether the server is in backoff.
func (a *announcements) inBackoff(now time.Time) bool { return a.backoff.Load().active(now) }

// resumeAt returns when requests to the server resume. It is the zero time if the server never
// requested a backoff, or has accepted a request since.
func (a *announcements) resumeAt() time.Time {
	if b := a.backoff.Load(); b != nil {
		return b.resumeAt
	}

	return time.Time{}
}

// AnnouncedLeaving records that an answer to this attempt announced that the server leaves.
func (a *Assignment) AnnouncedLeaving() {
	s := a.scheduler
	if !a.server.announcements.leaving.Swap(true) && s.OnLeaving != nil {
		s.OnLeaving(a.Server())
	}
}

// AnnouncedBackoff records that the server rejected this attempt and asked this instance to send
// it no requests for the duration of backoff.
func (a *Assignment) AnnouncedBackoff(now time.Time, backoff time.Duration) {
	s := a.scheduler
	if a.server.announcements.setBackoff(now, backoff, s.Resume) && s.OnBackoff != nil {
		s.OnBackoff(a.Server(), backoff)
	}
}

// Accepted records that the server accepted the request. If this attempt was the trial after a
// backoff, the backoff is over.
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

// BackoffServers returns how many known servers are in backoff for this instance.
func (s *Scheduler) BackoffServers(now time.Time) int {
	return s.countServers(func(srv *server) bool { return srv.announcements.inBackoff(now) })
}

// countSend counts a request that is sent although its server announced that it leaves, or that
// it is in backoff.
func (s *Scheduler) countSend(now time.Time, srv *server) {
	if srv.announcements.leaving.Load() {
		s.Counters.sentToLeaving()
	}

	if srv.announcements.inBackoff(now) {
		s.Counters.sentInBackoff()
	}
}
