package scheduling

import (
	"math"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
)

// brittleness is what a server announced of the rejections that it bears.
type brittleness struct {
	// maxRejections is the number of rejections a second; zero is any number.
	maxRejections int
	// at is when the request was sent whose response said so, or when another instance knew it. It is
	// zero if another server of the service announced it.
	at time.Time
}

func (b *brittleness) inherited() bool { return b.at.IsZero() }

// ServerBrittleness is the number of rejections a second that a brittle server bears, as another
// instance knows it; zero is any number.
type ServerBrittleness struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server        Key
	MaxRejections uint32
	// AgeMs is the age of the announcement in milliseconds.
	AgeMs uint32
}

// maxRejections returns how many rejections a second the server bears; zero is any number.
func (s *server) maxRejections() int {
	if known := s.announcements.brittle.Load(); known != nil {
		return known.maxRejections
	}

	return 0
}

// needsPermit reports whether requests to the server need a permit.
func (s *server) needsPermit() bool {
	return s.announcedLimit().Rate != ratelimit.Unlimited || s.maxRejections() > 0
}

// updateBrittle stores an announcement unless a newer one is known, and reports whether the number
// changed. Responses may overtake each other.
func (s *server) updateBrittle(next brittleness) bool {
	for {
		known := s.announcements.brittle.Load()

		switch {
		case known == nil && next.maxRejections == 0, known != nil && !next.at.After(known.at):
			return false
		case s.announcements.brittle.CompareAndSwap(known, &next):
			return known == nil || known.maxRejections != next.maxRejections
		}
	}
}

// inheritBrittle assumes the number for a server that has not said anything yet: the servers of a
// service are brittle together. Its first response replaces it.
func (s *server) inheritBrittle(maxRejections int) {
	if maxRejections > 0 {
		s.announcements.brittle.CompareAndSwap(nil, &brittleness{maxRejections: maxRejections})
	}
}

// serviceMaxRejections returns the least number that a known server of a service announced; zero if
// none is brittle. The caller holds s.mu.
func (s *Scheduler) serviceMaxRejections(service fleet.Service) int {
	least := 0

	for _, srv := range s.servers {
		if n := srv.maxRejections(); srv.entry().Service == service && n > 0 && (least == 0 || n < least) {
			least = n
		}
	}

	return least
}

// AnnouncedBrittle records how many rejections a second the server bears by the response to this
// attempt; zero is any number.
func (a *Assignment) AnnouncedBrittle(maxRejections int) {
	a.scheduler.applyBrittle(a.server, brittleness{maxRejections: maxRejections, at: a.startedAt}, true)
}

func (s *Scheduler) applyBrittle(srv *server, next brittleness, upstream bool) {
	before := srv.maxRejections()
	if !srv.updateBrittle(next) {
		return
	}

	if pools := s.pools.Load(); pools != nil {
		for _, other := range (*pools)[srv.entry().Service] {
			other.inheritBrittle(next.maxRejections)
		}
	}

	if s.OnBrittleChange != nil {
		s.OnBrittleChange(BrittleChange{Server: srv.entry().Process(), Before: before, After: next.maxRejections})
	}

	s.publish(brittleAnnounced, srv, nil, upstream, true)
}

// receiveBrittle applies what another instance knows.
func (s *Scheduler) receiveBrittle(now time.Time, srv *server, b ServerBrittleness, upstream bool) {
	at := now.Add(-time.Duration(b.AgeMs) * time.Millisecond)
	s.applyBrittle(srv, brittleness{maxRejections: int(min(b.MaxRejections, math.MaxInt32)), at: at}, upstream)
}

func (s *server) brittleUpdate(now time.Time) ServerBrittleness {
	known := s.announcements.brittle.Load()
	if known == nil {
		known = &brittleness{at: now}
	}

	return ServerBrittleness{
		Server: s.key, MaxRejections: uint32(known.maxRejections),
		AgeMs: uint32(min(max(now.Sub(known.at), 0).Milliseconds(), math.MaxUint32)),
	}
}

// freshLoad is the age up to which the load that a server reported is that of the response at hand.
const freshLoad = 20 * time.Millisecond

// reportPermit reports what happened to the attempt to those that grant requests to its server, if
// that is brittle.
func (a *Assignment) reportPermit(now time.Time, kind ratelimit.ReportKind, accepted bool) {
	maxRejections := a.server.maxRejections()
	if maxRejections == 0 || a.scheduler.Permits == nil {
		return
	}

	report := ratelimit.PermitReport{Server: a.Server(), Kind: kind, Accepted: accepted, Requests: -1, MaxRejections: maxRejections}
	if a.permit != nil {
		report.Granter, report.Level, report.Probe = a.permit.Granter, a.permit.Level, a.permit.Probe
	}

	if requests, age, ok := a.server.lastLoad(now); ok && age < freshLoad {
		report.Requests = requests
	}

	a.scheduler.Permits.Report(report)
}

// reportEnd reports the end of the attempt.
func (a *Assignment) reportEnd(now time.Time, r Result) {
	if r == Rejected {
		a.reportPermit(now, ratelimit.Rejected, false)

		return
	}

	a.reportPermit(now, ratelimit.Ended, r == Served || a.answerBegun)
}

// Release gives back the permit of an attempt that is not started. An attempt whose Start returned
// false has given it back.
func (a *Assignment) Release() {
	a.cancelReservation()

	if a.permit == nil || a.permit.Level == 0 || a.scheduler.Permits == nil {
		return
	}

	a.scheduler.Permits.Report(ratelimit.PermitReport{
		Server: a.Server(), Kind: ratelimit.Ended, Granter: a.permit.Granter, Level: a.permit.Level, Probe: a.permit.Probe,
		Requests: -1, MaxRejections: a.server.maxRejections(),
	})
}

// BrittleServers returns how many known servers announced that they are brittle.
func (s *Scheduler) BrittleServers() int {
	return s.countServers(func(srv *server) bool {
		known := srv.announcements.brittle.Load()

		return !srv.isLeaving() && known != nil && known.maxRejections > 0 && !known.inherited()
	})
}
