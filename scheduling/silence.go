package scheduling

import "time"

const (
	// plainSilence and engineSilence are how long a plain server or a model engine responds to
	// none of the requests in progress there before its path is checked.
	plainSilence  = 300 * time.Millisecond
	engineSilence = time.Second
)

// beginWait records that a request is sent to the server.
func (s *server) beginWait(now time.Time, first, reads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if first {
		s.path.waitingSince, s.path.reads = now, false
	}

	s.path.reads = s.path.reads || reads
}

// silent reports whether the server has responded to none of the requests in progress for so long
// that its path should be checked.
func (s *server) silent(now time.Time) bool {
	if s.running.Load() == 0 {
		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	since, bound := s.path.waitingSince, plainSilence
	if s.path.heardAt.After(since) {
		since = s.path.heardAt
	}

	if s.path.reads {
		bound = engineSilence
	}

	return !s.path.lost(now) && now.Sub(since) > bound
}

// SilentPaths returns the paths to servers that have requests of this instance in progress, and
// respond to none of them for longer than usual.
func (s *Scheduler) SilentPaths(now time.Time) []Path {
	servers := s.byKey.Load()
	if servers == nil {
		return nil
	}

	var silent []Path

	for _, srv := range *servers {
		if srv.silent(now) {
			silent = append(silent, srv.pathState(now))
		}
	}

	return silent
}
