package scheduling

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	// shortBacklog is the backlog, as the time in which a server reads it, up to which each prompt
	// is sent to the server. It keeps the server busy while updates about it are in flight.
	shortBacklog = 100 * time.Millisecond
	// refuseMargin is the time before its caller's deadline by which a held prompt must be expected
	// to begin; otherwise it is refused. Estimates from the read rate are off by a tenth.
	refuseMargin = 300 * time.Millisecond
	// holdInterval is half the interval at which few instances send each other their backlogs.
	holdInterval = 20 * time.Millisecond
)

// decision is how Place treats a prompt.
type decision int

const (
	// send sends the prompt now.
	send decision = iota
	// hold keeps the prompt back on this instance.
	hold
	// refuse rejects the prompt; the caller should retry later.
	refuse
)

// Place chooses a server as Pick does. A prompt that can't begin in time while servers are busy with
// prompts that can waits in the queue of its service, as do prompts that arrive while others wait.
// Place returns an OverloadError once the prompt has to be refused.
// A server with a limit is chosen only with a permit. If no other server is left, the request
// waits for a permit, or Place returns a NoRoomError. It returns a server to which this instance
// has no path if that is the best choice, or the only one. Place returns at the latest when ctx
// ends.
func (s *Scheduler) Place(ctx context.Context, clk clock.Clock, r Request) (*Assignment, error) {
	for permitRequests := 0; ; {
		a, err := s.placeOnce(ctx, clk, &r)
		if a == nil && err == nil {
			continue
		}

		if err != nil {
			return nil, err
		}

		if a.PathLost(clk.Now()) || a.permit != nil || s.acquirePermit(ctx, clk, a) {
			return a, nil
		}

		a.Release()

		if ctx.Err() != nil {
			return nil, ctx.Err()
		}

		permitRequests++
		r.onlyUnlimited = permitRequests >= maxPermitRequests
	}
}

// placeOnce picks a server, and waits until the request may be sent there. If it returns neither an
// assignment nor an error, the request should be placed anew.
func (s *Scheduler) placeOnce(ctx context.Context, clk clock.Clock, r *Request) (*Assignment, error) {
	now := clk.Now()

	a, err := s.Pick(now, *r)
	if errors.Is(err, ErrNoServer) {
		return s.placeWithoutServer(ctx, clk, r)
	}

	if err != nil {
		return nil, err
	}

	verdict := a.decide(now, *r)

	switch {
	case verdict == refuse:
		return nil, s.rejected(a.overload(now, *r, LateAtServers))
	case verdict == hold || s.mustQueue(now, a, *r):
		return s.await(ctx, clk, a, r)
	default:
		return a, nil
	}
}

// mustQueue reports whether a prompt that could be sent has to queue because others wait or waited recently.
func (s *Scheduler) mustQueue(now time.Time, a *Assignment, r Request) bool {
	queues := s.queues.Load()
	if queues == nil {
		return false
	}

	q := (*queues)[r.Service]

	return q != nil && q.contended(now) && a.mayWait(now, r) && q.mustWait(now, r)
}

// await waits for the turn of a prompt. If it returns neither an assignment nor an error, the
// prompt should be placed anew.
func (s *Scheduler) await(ctx context.Context, clk clock.Clock, a *Assignment, r *Request) (*Assignment, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}

	now := clk.Now()
	q, w := s.queue(r.Service), newWaiter(now, a, *r)
	r.requeued = true

	q.add(now, a, w)
	q.ensureRunning(clk)

	select {
	case p := <-w.done:
		return p.assignment, s.rejected(p.err)
	case <-ctx.Done():
		if placed := q.remove(clk.Now(), w); placed != nil {
			placed.Release()
		}

		return nil, ctx.Err()
	}
}

// queue returns the queue of a service, and creates it on first use.
func (s *Scheduler) queue(service fleet.Service) *requestQueue {
	if queues := s.queues.Load(); queues != nil && (*queues)[service] != nil {
		return (*queues)[service]
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	next := make(map[fleet.Service]*requestQueue)
	if queues := s.queues.Load(); queues != nil {
		maps.Copy(next, *queues)
	}

	if next[service] == nil {
		next[service] = newRequestQueue(s, service)
		s.queues.Store(&next)
	}

	return next[service]
}

// roomChanged wakes the queue of a service, whose servers may have room.
func (s *Scheduler) roomChanged(service fleet.Service) {
	if s.waiting.Load() == 0 {
		return
	}

	if q := (*s.queues.Load())[service]; q != nil && q.waiting.Load() > 0 {
		q.wake.Send()
	}
}

// wakeAll wakes all queues.
func (s *Scheduler) wakeAll() {
	if s.waiting.Load() == 0 {
		return
	}

	for _, q := range *s.queues.Load() {
		q.wake.Send()
	}
}

// mayWait reports whether a prompt may be held for its server.
func (a *Assignment) mayWait(now time.Time, r Request) bool {
	return a.meter != nil && !r.Due.IsZero() && !a.PathLost(now)
}

// placeWithoutServer handles a request for which Pick found no server. A final request first gets
// another pick in which it may be a trial. Otherwise the request waits for a server that may have
// room in time. If it returns neither an assignment nor an error, the caller picks again.
func (s *Scheduler) placeWithoutServer(ctx context.Context, clk clock.Clock, r *Request) (*Assignment, error) {
	if r.Final && !r.allowTrial {
		r.allowTrial = true

		return nil, nil
	}

	r.onlyUnlimited = false

	return s.awaitRoom(ctx, clk, r)
}

// decide decides whether a prompt is sent to the server of the assignment, held or refused. It
// handles overload: an engine reads prompts in order of arrival, so that each waits behind all
// others and none begins in time. A prompt that is late in any case loses nothing if prompts that
// can still be on time go first. If that takes until its caller disconnects, it is refused, since
// sending it would only delay others. A server to which this instance has no path gets the prompt
// from another instance, which decides by itself.
func (a *Assignment) decide(now time.Time, r Request) decision {
	if !a.mayWait(now, r) {
		return send
	}

	if a.timeToRead(a.backlog) <= shortBacklog {
		return send
	}

	begin := now.Add(a.timeToRead(a.backlog + int64(a.uncachedTokens)))

	switch {
	case !begin.After(r.Due):
		return send
	case now.After(r.HoldUntil) || begin.Add(refuseMargin).After(r.CallerDeadline):
		return refuse
	default:
		return hold
	}
}

// retryAfter returns the time after which a refused caller should retry: half of the current
// backlog is read by then, and a random time keeps callers that are refused together from
// returning together.
func (a *Assignment) retryAfter() time.Duration {
	backlog := max(a.timeToRead(a.backlog), shortBacklog)

	return backlog/2 + rand.N(backlog)
}

// readTime returns the time to read tokens at a rate in tokens a second.
func readTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
