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

// Permits grants requests to servers that announce a limit, over all instances.
type Permits interface {
	// Acquire asks for one request that can wait for some time.
	Acquire(ctx context.Context, server register.Process, limit ratelimit.Announcement, maxWait time.Duration) ratelimit.Permit
}

const (
	// minRetryAfter keeps callers that are refused from coming back for the same token.
	minRetryAfter = 300 * time.Millisecond
	// maxPermitRequests bounds how many servers a request asks for room: each takes a round
	// trip.
	maxPermitRequests = 3
)

// acquirePermit reports whether a server that was picked may get the request now. One without
// room is passed over until it may have some.
func (s *Scheduler) acquirePermit(ctx context.Context, clk clock.Clock, a *Assignment) bool {
	if s.Permits == nil || a.server.announcedLimit().Rate == ratelimit.Unlimited {
		return true
	}

	return s.requestPermit(ctx, clk, a.server, 0).Granted
}

// requestPermit asks for a permit and notes until when a server has no room. A caller that left
// before the reply came says nothing of that.
func (s *Scheduler) requestPermit(ctx context.Context, clk clock.Clock, srv *server, maxWait time.Duration) ratelimit.Permit {
	permit := s.Permits.Acquire(ctx, srv.entry().Process(), srv.announcedLimit(), max(maxWait, 0))
	if !permit.Granted && ctx.Err() == nil {
		srv.markFull(clk.Now().Add(permit.Wait))
	}

	return permit
}

// awaitRoom lets a request wait for room at one of the servers that announced that they take
// none for now, the first that may have some. It is refused at once if none has room in time.
// Without an assignment and an error there may be room by now.
func (s *Scheduler) awaitRoom(ctx context.Context, clk clock.Clock, r Request) (*Assignment, error) {
	blocked := s.blockedServers(clk.Now(), &r)
	if len(blocked) == 0 {
		return nil, s.noServerError(clk.Now(), &r)
	}

	for _, srv := range blocked[:min(len(blocked), maxPermitRequests)] {
		now := clk.Now()
		if srv.announcements.backoff.Load().blocks(now, &r) {
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

			return s.assign(clk.Now(), srv, r), ctx.Err()
		}

		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}

	return nil, &NoRoomError{RetryAfter: retryAfter(clk.Now(), blocked)}
}

// blockedServers returns the servers that could take a request if they had room by what they
// announced, those first that may have it soonest.
func (s *Scheduler) blockedServers(now time.Time, r *Request) []*server {
	blocked := s.serversFor(r, func(srv *server) bool {
		limited := s.Permits != nil && srv.announcedLimit().Rate != ratelimit.Unlimited

		return srv.allowed(r) && (limited || srv.announcements.backoff.Load().blocks(now, r))
	})

	// Instances that know of no difference spread over the servers.
	rand.Shuffle(len(blocked), func(i, j int) { blocked[i], blocked[j] = blocked[j], blocked[i] })
	slices.SortStableFunc(blocked, func(a, b *server) int { return a.roomAt().Compare(b.roomAt()) })

	return blocked
}

// serversFor returns the servers whose version may take a request and that fit.
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

// noServerError returns the error of a request that no server is left for. Where servers that had
// it asked for backoff, it says when the first of them takes requests again; it is nil where
// one takes them by now.
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

// RetryAfter returns when a caller of a service should come back if none of its servers takes a
// request now by what they announced, and whether that is so.
func (s *Scheduler) RetryAfter(now time.Time, service fleet.Service) (time.Duration, bool) {
	servers := s.serversFor(&Request{Service: service}, func(srv *server) bool { return !srv.isLeaving() })
	if len(servers) == 0 || slices.ContainsFunc(servers, func(srv *server) bool { return !srv.full(now) }) {
		return 0, false
	}

	return retryAfter(now, servers), true
}

// retryAfter returns when a caller that is refused should come back: once the first of
// some servers may have room. Those that are refused together come back apart.
func retryAfter(now time.Time, blocked []*server) time.Duration {
	first := slices.MinFunc(blocked, func(a, b *server) int { return a.roomAt().Compare(b.roomAt()) })
	wait := max(first.roomAt().Sub(now), minRetryAfter)

	return wait + rand.N(wait)
}

// assign returns the assignment of a request to a server.
func (s *Scheduler) assign(now time.Time, srv *server, r Request) *Assignment {
	keys := r.Prompt.keys()
	a := &Assignment{scheduler: s, server: srv, prompt: r.Prompt, keys: keys}
	a.uncachedTokens = r.Prompt.uncachedTokens(srv.cachedTokens(now, keys, r.Prompt), false)
	s.attachMeter(now, a, r)

	return a
}

// LimitChange says that a server announced another limit than before.
type LimitChange struct {
	Server        register.Process
	Before, After ratelimit.Rate
}

// AnnouncedLimit takes in which limit, or none, an answer to this attempt announced.
func (a *Assignment) AnnouncedLimit(now time.Time, rate ratelimit.Rate) {
	if rate == ratelimit.Unlimited && a.server.announcements.limit.Load() == nil {
		return
	}

	known := a.server.announcedLimit()
	a.scheduler.applyLimit(a.server, known.Observed(rate, a.startedAt, now), true)
}

// Merge takes in what another instance knows of a server, and returns the newest. Of a
// server that is not known here it returns what the other knows.
func (s *Scheduler) Merge(start register.Process, other ratelimit.Announcement) ratelimit.Announcement {
	byKey := s.byKey.Load()
	if byKey == nil {
		return other
	}

	srv := (*byKey)[keyOfProcess(start)]
	if srv == nil {
		return other
	}

	s.applyLimit(srv, srv.announcedLimit().Received(other), true)

	return srv.announcedLimit()
}

// receiveLimit takes in what another instance passed on.
func (s *Scheduler) receiveLimit(now time.Time, srv *server, l ServerLimit, upstream bool) {
	at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	other := ratelimit.Announcement{Rate: l.Rate, At: at}
	s.applyLimit(srv, srv.announcedLimit().Received(other), upstream)
}

// limitUpdate returns what others are sent of a server's announcement.
func (s *server) limitUpdate(now time.Time) ServerLimit {
	known := s.announcedLimit()
	age := min(max(now.Sub(known.At), 0).Milliseconds(), math.MaxUint32)

	return ServerLimit{Server: s.key, Rate: known.Rate, AgeMs: uint32(age)}
}

// applyLimit takes an announcement in, if it is newer than what is known, and notes it for
// others.
func (s *Scheduler) applyLimit(srv *server, next ratelimit.Announcement, upstream bool) {
	before, newer := srv.updateLimit(next)
	if !newer || before.Rate == ratelimit.Unlimited && next.Rate == ratelimit.Unlimited {
		return
	}

	changed := before.Rate != next.Rate
	if changed && s.OnLimitChange != nil {
		s.OnLimitChange(LimitChange{Server: srv.entry().Process(), Before: before.Rate, After: next.Rate})
	}

	s.outboxes[Downstream].addLimit(srv, changed)

	if upstream {
		s.outboxes[Upstream].addLimit(srv, changed)
	}
}

// limitState is what is known of the limit of one server.
type limitState struct {
	announcement ratelimit.Announcement
	// fullUntil is until when it has no room for a request.
	fullUntil time.Time
}

// limitState returns what is known of the server's limitState.
func (s *server) limitState() limitState {
	if known := s.announcements.limit.Load(); known != nil {
		return *known
	}

	return limitState{}
}

// updateLimit returns the announcement before, and whether the next one is newer.
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

// markFull notes that a server has no room until a time.
func (s *server) markFull(until time.Time) {
	s.announcements.mu.Lock()
	defer s.announcements.mu.Unlock()

	known := s.limitState()
	if known.announcement.Rate != ratelimit.Unlimited {
		known.fullUntil = until
		s.announcements.limit.Store(&known)
	}
}

// full reports whether a server is known to have no room by what it announced.
func (s *server) full(now time.Time) bool { return now.Before(s.roomAt()) }

// roomAt returns when a server may have room.
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
