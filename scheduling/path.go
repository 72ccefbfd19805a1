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

const (
	// pathTTL is how long a path counts as lost after the last failure to open a connection. A
	// prober tries again before.
	pathTTL = 2 * time.Second
	// aliveTime is how long after something was received from a server it can't have terminated: a
	// connection that is refused in that time shows a lost path, here or at another instance.
	aliveTime = 300 * time.Millisecond
	// detourCost is the cost of a further hop over another instance, in prompt tokens: about two
	// round trips across domains.
	detourCost = 400
)

// path is what this instance knows of its own network path to one server process.
type path struct {
	// lostAt is when the first connection since the server was last reached could not be opened,
	// and failedAt when the last one could not.
	lostAt, failedAt time.Time
	// heardAt is when anything was last received from the server.
	heardAt time.Time
	// waitingSince is when the first of the requests in progress was sent, and reads is set if one
	// of them has a prompt, which an engine reads before it responds.
	waitingSince time.Time
	reads        bool
}

// lost reports whether the path is lost.
func (p *path) lost(now time.Time) bool {
	return !p.lostAt.IsZero() && now.Sub(p.failedAt) < pathTTL
}

// markLost records that a connection could not be opened, and reports whether that is new.
func (s *server) markLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := s.path.lost(now)
	if !known {
		s.path.lostAt = now
	}

	s.path.failedAt = now

	return !known
}

// markHeard records that something was received in response to a request that was sent at the given
// time.
func (s *server) markHeard(now, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.path.heardAt = now

	if !s.terminatedAt.IsZero() && sentAt.After(s.terminatedAt) {
		// The process runs, whatever an instance that can't reach it has said.
		s.terminatedAt, s.avoidUntil = time.Time{}, time.Time{}
	}
}

// markReached records that a connection was opened, and returns for how long the path was lost
// before, or zero if it wasn't.
func (s *server) markReached(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.path.heardAt = now
	if s.path.lostAt.IsZero() {
		return 0
	}

	lost := max(now.Sub(s.path.lostAt), 1)
	s.path.lostAt = time.Time{}

	return lost
}

// heardWithin reports whether anything was received from the server within a time.
func (s *server) heardWithin(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.path.heardAt.IsZero() && now.Sub(s.path.heardAt) < d
}

// pathLost reports whether the path to the server is lost.
func (s *server) pathLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.path.lost(now)
}

// avoidanceCost returns the cost of a server that was unreachable, full or terminated a moment ago. A
// server of which others told the load since this instance lost its path costs one further hop
// if another instance may serve the request.
func (s *server) avoidanceCost(now time.Time, r *Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.path.lost(now) && r.Detour && s.reportedAt.After(s.path.lostAt):
		return detourCost
	case s.path.lost(now), now.Before(s.avoidUntil):
		return failureCost
	default:
		return 0
	}
}

// PathLost reports whether this instance has no network path to the server.
func (a *Assignment) PathLost(now time.Time) bool { return a.server.pathLost(now) }

// ConnectionLost records that the connection ended without any response. The server may have
// terminated, or the path may be cut.
func (a *Assignment) ConnectionLost(now time.Time) {
	if suspect := a.scheduler.OnPathSuspect; suspect != nil && !a.server.pathLost(now) {
		suspect(a.server.pathState(now))
	}
}

// Heard records that something was received from the server. It does not show that there is a path
// again: open connections may live on while new ones fail.
func (a *Assignment) Heard(now time.Time) { a.server.markHeard(now, a.startedAt) }

// Connected records that a connection to the server was opened for this attempt.
func (a *Assignment) Connected(now time.Time) { a.scheduler.pathReached(now, a.server) }

// HeardAfter reports whether anything was received from the server's process after a time, here or by
// another instance that tells its load.
func (a *Assignment) HeardAfter(at time.Time) bool {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()

	return a.server.path.heardAt.After(at) || a.server.reportedAt.After(at)
}

// AddressTaken reports whether another process is registered at the address of the server's process,
// which has therefore ended.
func (a *Assignment) AddressTaken() bool {
	pools := a.scheduler.pools.Load()
	if pools == nil {
		return false
	}

	address, process := a.Address(), a.Server()

	for _, pool := range *pools {
		for _, other := range pool {
			if entry := other.entry(); entry.Address == address && entry.Process() != process {
				return true
			}
		}
	}

	return false
}

// MostPathsLost reports whether this instance has lost its paths to most servers other than that
// of the assignment.
func (a *Assignment) MostPathsLost(now time.Time) bool {
	lost, known := 0, 0

	for _, paths := range a.scheduler.Paths(now) {
		for _, path := range paths {
			if path.ID == a.ID() {
				continue
			}

			known++

			if path.Lost {
				lost++
			}
		}
	}

	return 2*lost > known
}
