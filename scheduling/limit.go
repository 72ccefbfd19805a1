package scheduling

import (
	"time"

	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// LimitChange says that a server announced another limit than before.
type LimitChange struct {
	Server        register.Start
	Before, After ratelimit.Rate
}

// Announced takes in which limit, or none, an answer to this attempt announced.
func (a *Assignment) Announced(now time.Time, rate ratelimit.Rate) {
	a.scheduler.announce(a.server, ratelimit.Announcement{Rate: rate, At: now}, a.startedAt)
}

// announce takes an announcement in that answers a request sent at a time.
func (s *Scheduler) announce(one *server, next ratelimit.Announcement, sent time.Time) {
	before, admitted := one.announce(next, sent)
	if admitted && before != next.Rate && s.OnLimit != nil {
		s.OnLimit(LimitChange{Server: one.entry().Start(), Before: before, After: next.Rate})
	}
}

// announce returns the rate before, and whether the announcement replaced it.
func (s *server) announce(next ratelimit.Announcement, sent time.Time) (ratelimit.Rate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	before := s.limit
	if !before.Admits(next, sent) {
		return before.Rate, false
	}

	s.limit = next

	return before.Rate, true
}

// rate returns the limit in force.
func (s *server) rate() ratelimit.Rate {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.limit.Rate
}

// Limited returns how many servers announce a limit.
func (s *Scheduler) Limited() int {
	pools := s.current.Load()
	if pools == nil {
		return 0
	}

	n := 0

	for _, pool := range *pools {
		for _, one := range pool {
			if one.rate() != ratelimit.Unlimited {
				n++
			}
		}
	}

	return n
}
