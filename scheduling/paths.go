package scheduling

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Reaches reports whether this instance has a path to a server of a service, as far as it knows.
func (s *Scheduler) Reaches(now time.Time, service fleet.Service) bool {
	return len(s.serversFor(&Request{Service: service}, func(srv *server) bool {
		return !srv.isLeaving() && !srv.pathLost(now)
	})) > 0
}

// PathsFailing reports whether connections to servers could not be opened lately. It takes no lock;
// while it returns false, no path is lost.
func (s *Scheduler) PathsFailing(now time.Time) bool {
	at := s.pathFailedAt.Load()

	return at != nil && now.Sub(*at) < pathTTL
}

// LostServices returns the services that have servers, to none of which this instance has a path.
func (s *Scheduler) LostServices(now time.Time) []fleet.Service {
	pools := s.pools.Load()
	if pools == nil || !s.PathsFailing(now) {
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

	switch {
	case srv == nil || srv.entry().Address != address:
	case reached:
		s.pathReached(now, srv)
	default:
		s.pathFailed(now, srv, refused)
	}
}

// StillLost records that lost paths to servers of a service were retried without success.
func (s *Scheduler) StillLost(now time.Time, service fleet.Service) {
	for _, srv := range s.serversFor(&Request{Service: service}, func(srv *server) bool { return srv.pathLost(now) }) {
		srv.markLost(now)
		s.pathFailedAt.Store(&now)
	}
}

// HeardSince reports whether anything was received from a server after a time.
func (s *Scheduler) HeardSince(id fleet.InstanceID, at time.Time) bool {
	s.mu.Lock()
	srv := s.servers[id]
	s.mu.Unlock()

	return srv != nil && srv.heardAfter(at)
}

func (s *server) heardAfter(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.path.heardAt.After(at)
}

// pathReached records that a connection to a server was opened.
func (s *Scheduler) pathReached(now time.Time, srv *server) {
	lost := srv.markReached(now)
	if lost > 0 && s.OnPathChange != nil {
		s.OnPathChange(PathChange{Server: srv.entry().Process(), Service: srv.entry().Service, After: lost})
	}
}

// pathFailed records that no connection to a server could be opened.
func (s *Scheduler) pathFailed(now time.Time, srv *server, refused bool) {
	s.pathFailedAt.Store(&now)

	if srv.markLost(now) && s.OnPathChange != nil {
		s.OnPathChange(PathChange{Server: srv.entry().Process(), Service: srv.entry().Service, Lost: true, Refused: refused})
	}
}

// LostPaths returns to how many known servers this instance has no network path.
func (s *Scheduler) LostPaths(now time.Time) int {
	return s.countServers(func(srv *server) bool { return !srv.isLeaving() && srv.pathLost(now) })
}
