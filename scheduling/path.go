package scheduling

import (
	"slices"
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
	// receiveDelay is how long after a process has terminated its last bytes may still be received.
	receiveDelay = 50 * time.Millisecond
	// detourCost is the cost of a further hop over another instance, in prompt tokens: about two
	// round trips across domains.
	detourCost = 400
)

// path is what this instance knows of its own network path to one server process.
type path struct {
	// lostAt is when the first connection since the server was last reached could not be opened,
	// and failedAt when the last one could not.
	lostAt, failedAt time.Time
	// refused is set if the server's machine refused the last connection.
	refused bool
	// heardAt is when anything was last received from the server.
	heardAt time.Time
}

// lost reports whether the path is lost.
func (p *path) lost(now time.Time) bool {
	return !p.lostAt.IsZero() && now.Sub(p.failedAt) < pathTTL
}

// markLost records that a connection could not be opened, and reports whether that is new.
func (s *server) markLost(now time.Time, refused bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := s.path.lost(now)
	if !known {
		s.path.lostAt = now
	}

	s.path.failedAt, s.path.refused = now, refused

	return !known
}

// markReached records that the server was reached, and returns for how long the path was lost
// before, or zero if it wasn't.
func (s *server) markReached(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.path.heardAt = now

	if !s.terminatedAt.IsZero() && now.Sub(s.terminatedAt) > receiveDelay {
		// The process runs, whatever an instance that can't reach it has said.
		s.terminatedAt, s.avoidUntil = time.Time{}, time.Time{}
	}

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

// pathCost returns the cost of a server that was unreachable, full or terminated a moment ago. A
// server of which others told the load since this instance lost its path costs one further hop
// if another instance may serve the request.
func (s *server) pathCost(now time.Time, r *Request) float64 {
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

// pathRefused reports whether the machine of the server refused the last connection.
func (s *server) pathRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.path.refused
}

// Heard records that something was received from the server.
func (a *Assignment) Heard(now time.Time) { a.scheduler.recordPath(now, a.server, true, false) }

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

// Reaches reports whether this instance has a path to a server of a service, as far as it knows.
func (s *Scheduler) Reaches(now time.Time, service fleet.Service) bool {
	return len(s.serversFor(&Request{Service: service}, func(srv *server) bool {
		return !srv.isLeaving() && !srv.pathLost(now)
	})) > 0
}

// LostServices returns the services that have servers, to none of which this instance has a path.
func (s *Scheduler) LostServices(now time.Time) []fleet.Service {
	pools := s.pools.Load()
	if pools == nil {
		return nil
	}

	var lost []fleet.Service

	for service, pool := range *pools {
		if len(pool) > 0 && !slices.ContainsFunc(pool, func(srv *server) bool { return !srv.isLeaving() && !srv.pathLost(now) }) {
			lost = append(lost, service)
		}
	}

	slices.Sort(lost)

	return lost
}

// Path is the state of the network path to one server.
type Path struct {
	ID      fleet.InstanceID
	Address string
	Lost    bool
	// HeardAt is when anything was last received from the server.
	HeardAt time.Time
}

// Paths returns the state of the paths to all servers, by service.
func (s *Scheduler) Paths(now time.Time) map[fleet.Service][]Path {
	pools := s.pools.Load()
	if pools == nil {
		return nil
	}

	paths := make(map[fleet.Service][]Path, len(*pools))

	for service, pool := range *pools {
		for _, srv := range pool {
			if !srv.isLeaving() {
				paths[service] = append(paths[service], srv.pathState(now))
			}
		}
	}

	return paths
}

func (s *server) pathState(now time.Time) Path {
	s.mu.Lock()
	defer s.mu.Unlock()

	entry := s.entry()

	return Path{ID: entry.ID, Address: entry.Address, Lost: s.path.lost(now), HeardAt: s.path.heardAt}
}

// RecordPath records whether a connection to a server at an address could be opened.
func (s *Scheduler) RecordPath(now time.Time, id fleet.InstanceID, address string, reached, refused bool) {
	s.mu.Lock()
	srv := s.servers[id]
	s.mu.Unlock()

	if srv != nil && srv.entry().Address == address {
		s.recordPath(now, srv, reached, refused)
	}
}

// StillLost records that lost paths to servers of a service were retried without success.
func (s *Scheduler) StillLost(now time.Time, service fleet.Service) {
	for _, srv := range s.serversFor(&Request{Service: service}, func(srv *server) bool { return srv.pathLost(now) }) {
		srv.markLost(now, srv.pathRefused())
	}
}

// recordPath records whether a server was reached, and reports a change.
func (s *Scheduler) recordPath(now time.Time, srv *server, reached, refused bool) {
	change := PathChange{Server: srv.entry().Process(), Service: srv.entry().Service, Lost: !reached, Refused: refused}

	if reached {
		change.After = srv.markReached(now)
		if change.After == 0 {
			return
		}
	} else if !srv.markLost(now, refused) {
		return
	}

	if s.OnPathChange != nil {
		s.OnPathChange(change)
	}
}

// LostPaths returns to how many known servers this instance has no network path.
func (s *Scheduler) LostPaths(now time.Time) int {
	return s.countServers(func(srv *server) bool { return !srv.isLeaving() && srv.pathLost(now) })
}
