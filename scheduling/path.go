package scheduling

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// PathChange reports that this instance lost its network path to a backend server, or has it
// again. Other instances may reach a server that this one doesn't.
type PathChange struct {
	Server  register.Process
	Service fleet.Service
	// Lost is set if a connection could not be opened. Refused is set if the server's machine
	// refused it, and not set if nothing responded.
	Lost, Refused bool
	// After is how long the path was lost before.
	After time.Duration
}

// path is what this instance knows of its own network path to one server process.
type path struct {
	lostAt time.Time
}

// markLost records that a connection could not be opened, and reports whether that is new.
func (s *server) markLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.path.lostAt.IsZero() {
		return false
	}

	s.path.lostAt = now

	return true
}

// markReached records that the server was reached, and returns for how long the path was lost
// before, or zero if it wasn't.
func (s *server) markReached(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.path.lostAt.IsZero() {
		return 0
	}

	lost := max(now.Sub(s.path.lostAt), 1)
	s.path.lostAt = time.Time{}

	return lost
}

// pathLost reports whether the path to the server is lost.
func (s *server) pathLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.path.lostAt.IsZero()
}

// recordPath records whether a server was reached, and reports a change.
func (s *Scheduler) recordPath(now time.Time, srv *server, reached, refused bool) {
	change := PathChange{Server: srv.entry().Process(), Service: srv.entry().Service, Lost: !reached, Refused: refused}

	if reached {
		change.After = srv.markReached(now)
		if change.After == 0 {
			return
		}
	} else if !srv.markLost(now) {
		return
	}

	if s.OnPathChange != nil {
		s.OnPathChange(change)
	}
}

// LostPaths returns to how many known servers this instance has no network path.
func (s *Scheduler) LostPaths() int {
	return s.countServers(func(srv *server) bool { return !srv.isLeaving() && srv.pathLost() })
}
