package scheduling

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// Permits grants requests to servers that announce a limit, across all instances.
type Permits interface {
	// Acquire requests a permit for one request that can wait for at most maxWait.
	Acquire(ctx context.Context, server register.Process, limit ratelimit.Announcement, maxWait time.Duration) ratelimit.Permit
	// Report reports what happened to a request at a brittle server.
	Report(r ratelimit.PermitReport)
}

const (
	// minRetryAfter keeps refused callers from all retrying for the same next permit.
	minRetryAfter = 300 * time.Millisecond
	// brittleRetryDelay is the least delay after which a request that waits for a brittle server
	// asks for a permit again.
	brittleRetryDelay = 50 * time.Millisecond
	// maxPermitRequests bounds how many servers' permits are requested for one request: each
	// takes a round trip.
	maxPermitRequests = 3
)

// acquirePermit reports whether the server that was picked may get the request now. A server
// without a free permit is skipped until it may have one.
func (s *Scheduler) acquirePermit(ctx context.Context, clk clock.Clock, a *Assignment) bool {
	if s.Permits == nil || !a.server.needsPermit() {
		return true
	}

	permit := s.requestPermit(ctx, clk, a.server, 0)
	if permit.Granted {
		a.permit = &permit
	}

	return permit.Granted
}

// requestPermit requests a permit and, if it is refused, records until when the server has no
// room. A refusal after ctx ended is not recorded, since it may stem from the cancellation.
func (s *Scheduler) requestPermit(ctx context.Context, clk clock.Clock, srv *server, maxWait time.Duration) ratelimit.Permit {
	limit := srv.announcedLimit()
	limit.MaxRejections, limit.Slots = srv.maxRejections(), srv.entry().Slots

	permit := s.Permits.Acquire(ctx, srv.entry().Process(), limit, max(maxWait, 0))
	if !permit.Granted && ctx.Err() == nil {
		srv.markFull(clk.Now().Add(permit.Wait))
	}

	return permit
}

// awaitRoom waits until one of the servers that accept nothing now has room, starting with the
// server that may have it first. It returns a NoRoomError immediately if none will have room by
// WaitUntil. If it returns neither an assignment nor an error, a server may have room by now and
// the caller picks again.
func (s *Scheduler) awaitRoom(ctx context.Context, clk clock.Clock, r *Request) (*Assignment, error) {
	blocked := s.blockedServers(clk.Now(), r)
	if len(blocked) == 0 {
		return nil, s.noServerError(clk.Now(), r)
	}

	for _, srv := range blocked[:min(len(blocked), maxPermitRequests)] {
		now := clk.Now()
		if srv.announcements.backoff.Load().blocks(now, r) {
			wait := max(srv.roomAt().Sub(now), holdInterval)
			if now.Add(wait).After(r.WaitUntil) {
				break
			}

			clock.Sleep(ctx, clk, wait)

			return nil, ctx.Err()
		}

		if srv.roomAt().After(r.WaitUntil) {
			break
		}

		permit := s.requestPermit(ctx, clk, srv, r.WaitUntil.Sub(now))
		if permit.Granted {
			clock.Sleep(ctx, clk, permit.Wait)

			a := s.assign(clk.Now(), srv, *r)
			a.permit = &permit

			if err := ctx.Err(); err != nil {
				a.Release()

				return nil, err
			}

			return a, nil
		}

		if ctx.Err() != nil {
			return nil, ctx.Err()
		}

		if srv.maxRejections() > 0 && awaitTurn(ctx, clk, permit.Wait, r) {
			return nil, ctx.Err()
		}
	}

	return nil, &NoRoomError{RetryAfter: retryAfter(clk.Now(), blocked)}
}

// awaitTurn waits until the request may ask a brittle server again, at which nothing is reserved
// ahead: in its turn at first, and more often once that has passed. It returns false if that is too
// late for the request.
func awaitTurn(ctx context.Context, clk clock.Clock, wait time.Duration, r *Request) bool {
	if r.awaitedTurn {
		wait = min(wait, brittleRetryDelay+rand.N(brittleRetryDelay))
	}

	if clk.Now().Add(wait).After(r.WaitUntil) {
		return false
	}

	r.awaitedTurn = true

	clock.Sleep(ctx, clk, wait)

	return true
}

// blockedServers returns the servers that could take a request except for the limit or backoff
// that they announced, in the order in which they may have room.
func (s *Scheduler) blockedServers(now time.Time, r *Request) []*server {
	blocked := s.serversFor(r, func(srv *server) bool {
		limited := s.Permits != nil && srv.needsPermit()

		return srv.allowed(r) && (limited || srv.announcements.backoff.Load().blocks(now, r))
	})

	// Servers with equal times are in random order, so that instances spread over them.
	rand.Shuffle(len(blocked), func(i, j int) { blocked[i], blocked[j] = blocked[j], blocked[i] })
	slices.SortStableFunc(blocked, func(a, b *server) int { return a.roomAt().Compare(b.roomAt()) })

	return blocked
}

// serversFor returns the servers whose version may take a request and that match.
func (s *Scheduler) serversFor(r *Request, match func(*server) bool) []*server {
	pools := s.pools.Load()
	if pools == nil {
		return nil
	}

	var servers []*server

	for _, srv := range r.matchVersions((*pools)[r.Service]) {
		if match(srv) {
			servers = append(servers, srv)
		}
	}

	return servers
}

// noServerError returns the error for a request that no server is left for. If servers requested
// a backoff, the error says when the first of them accepts requests again. It is nil if a server
// accepts requests by now.
func (s *Scheduler) noServerError(now time.Time, r *Request) error {
	if len(s.serversFor(r, func(srv *server) bool { return srv.eligible(now, r) })) > 0 {
		return nil
	}

	backoff := s.serversFor(r, func(srv *server) bool { return !srv.isLeaving() && srv.announcements.backoff.Load().blocks(now, r) })
	if len(backoff) == 0 {
		return ErrNoServer
	}

	return &NoRoomError{RetryAfter: retryAfter(now, backoff)}
}

// RetryAfter returns the time after which a caller of a service should retry, and reports whether
// all servers of the service announced that they accept no requests now.
func (s *Scheduler) RetryAfter(now time.Time, service fleet.Service) (time.Duration, bool) {
	servers := s.serversFor(&Request{Service: service}, func(srv *server) bool { return !srv.isLeaving() })
	if len(servers) == 0 || slices.ContainsFunc(servers, func(srv *server) bool { return !srv.full(now) }) {
		return 0, false
	}

	return retryAfter(now, servers), true
}

// retryAfter returns the time after which a refused caller should retry: once the first of the
// blocked servers may have room, plus a random time, so that callers that are refused together
// don't return together.
func retryAfter(now time.Time, blocked []*server) time.Duration {
	first := slices.MinFunc(blocked, func(a, b *server) int { return a.roomAt().Compare(b.roomAt()) })
	wait := max(first.roomAt().Sub(now), minRetryAfter)

	return wait + rand.N(wait)
}

// assign returns the assignment of a request to a server.
func (s *Scheduler) assign(now time.Time, srv *server, r Request) *Assignment {
	keys := r.Prompt.keys()
	a := &Assignment{scheduler: s, server: srv, version: srv.entry().Version, prompt: r.Prompt, keys: keys}
	a.uncachedTokens = r.Prompt.uncachedTokens(srv.cachedTokens(now, keys, r.Prompt), false)
	s.attachMeter(now, a, r)

	return a
}

// LimitChange reports that a server announced a limit that differs from the one before.
type LimitChange struct {
	Server        register.Process
	Before, After ratelimit.Rate
}

// BrittleChange reports that a server announced another number of rejections a second that it
// bears; zero is any number.
type BrittleChange struct {
	Server        register.Process
	Before, After int
}

// AnnouncedLimit records the limit that an answer to this attempt announced. A rate of
// ratelimit.Unlimited means that the server has no limit.
func (a *Assignment) AnnouncedLimit(now time.Time, rate ratelimit.Rate) {
	if rate == ratelimit.Unlimited && a.server.announcements.limit.Load() == nil {
		return
	}

	known := a.server.announcedLimit()
	a.scheduler.applyLimit(a.server, known.Observed(rate, a.startedAt, now), true)
}

// Merge merges another instance's announcement of a server with the one known here, and returns
// the newest. If the server is not known here, it returns the other instance's announcement.
func (s *Scheduler) Merge(process register.Process, other ratelimit.Announcement) ratelimit.Announcement {
	byKey := s.byKey.Load()
	if byKey == nil {
		return other
	}

	srv := (*byKey)[keyOfProcess(process)]
	if srv == nil {
		return other
	}

	s.applyLimit(srv, srv.announcedLimit().Received(other), true)

	return srv.announcedLimit()
}

// receiveLimit applies a limit from another instance's update.
func (s *Scheduler) receiveLimit(now time.Time, srv *server, l ServerLimit, upstream bool) {
	at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	other := ratelimit.Announcement{Rate: l.Rate, At: at}
	s.applyLimit(srv, srv.announcedLimit().Received(other), upstream)
}

// limitUpdate returns the server's limit as it is sent to other instances.
func (s *server) limitUpdate(now time.Time) ServerLimit {
	known := s.announcedLimit()
	age := min(max(now.Sub(known.At), 0).Milliseconds(), math.MaxUint32)

	return ServerLimit{Server: s.key, Rate: known.Rate, AgeMs: uint32(age)}
}

// applyLimit stores an announcement if it is newer than the known one, and queues it for other
// instances.
func (s *Scheduler) applyLimit(srv *server, next ratelimit.Announcement, upstream bool) {
	before, newer := srv.updateLimit(next)
	if !newer || before.Rate == ratelimit.Unlimited && next.Rate == ratelimit.Unlimited {
		return
	}

	changed := before.Rate != next.Rate
	if changed && s.OnLimitChange != nil {
		s.OnLimitChange(LimitChange{Server: srv.entry().Process(), Before: before.Rate, After: next.Rate})
	}

	s.publish(limitAnnounced, srv, nil, upstream, changed)
}

// limitState is the limit that a server announced, and whether it is used up.
type limitState struct {
	announcement ratelimit.Announcement
	// fullUntil is until when the server has no free permit.
	fullUntil time.Time
}

// limitState returns the server's limit state, or the zero value if it announced no limit.
func (s *server) limitState() limitState {
	if known := s.announcements.limit.Load(); known != nil {
		return *known
	}

	return limitState{}
}

// updateLimit stores the newer of the known and the next announcement. It returns the
// announcement before, and reports whether the announcement changed.
func (s *server) updateLimit(next ratelimit.Announcement) (ratelimit.Announcement, bool) {
	s.announcements.mu.Lock()
	defer s.announcements.mu.Unlock()

	before := s.limitState()
	after := limitState{announcement: before.announcement.Newest(next), fullUntil: before.fullUntil}

	if after.announcement == before.announcement {
		return before.announcement, false
	}

	if after.announcement.Rate == ratelimit.Unlimited {
		after.fullUntil = time.Time{}
	}

	s.announcements.limit.Store(&after)

	return before.announcement, true
}

// announcedLimit returns the newest announcement.
func (s *server) announcedLimit() ratelimit.Announcement { return s.limitState().announcement }

// markFull records until when a server with a limit has no free permit.
func (s *server) markFull(until time.Time) {
	s.announcements.mu.Lock()
	defer s.announcements.mu.Unlock()

	known := s.limitState()
	if known.announcement.Rate != ratelimit.Unlimited || s.maxRejections() > 0 {
		known.fullUntil = until
		s.announcements.limit.Store(&known)
	}
}

// full reports whether the server accepts no requests now, by its limit or its backoff.
func (s *server) full(now time.Time) bool { return now.Before(s.roomAt()) }

// roomAt returns when the server may have room: the later of the next free permit and the end of
// the backoff.
func (s *server) roomAt() time.Time {
	fullUntil, resumeAt := s.limitState().fullUntil, s.announcements.resumeAt()
	if resumeAt.After(fullUntil) {
		return resumeAt
	}

	return fullUntil
}

// LimitedServers returns how many servers announce a limit.
func (s *Scheduler) LimitedServers() int {
	return s.countServers(func(srv *server) bool {
		return !srv.isLeaving() && srv.announcedLimit().Rate != ratelimit.Unlimited
	})
}
