package scheduling

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"monsoonlever/clock"
)

const (
	// shortBacklog is the backlog, as the time in which a server reads it, up to which each prompt
	// is sent to the server. It keeps the server busy while updates about it are in flight.
	shortBacklog = 100 * time.Millisecond
	// refuseMargin is the time before its caller's deadline by which a held prompt must be expected
	// to begin; otherwise it is refused. Estimates from the read rate are off by a tenth.
	refuseMargin = 300 * time.Millisecond
	// holdInterval is how often a held prompt is checked again: half the interval at which few
	// instances send each other their backlogs.
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

// OverloadError means that no server can begin a prompt in time and that the prompt can't be
// held any longer.
type OverloadError struct {
	// RetryAfter is the time until the caller should retry. By then the servers will have read
	// at least about half of their current backlog.
	RetryAfter time.Duration
}

// Error includes RetryAfter.
func (e *OverloadError) Error() string {
	return "servers are busy for longer than the caller waits, try again in " + e.RetryAfter.String()
}

// Place chooses a server as Pick does. It holds a prompt that can't begin in time while servers
// are busy with prompts that can, and returns an OverloadError once the prompt has to be refused.
// A server with a limit is chosen only with a permit. If no other server is left, the request
// waits for a permit, or Place returns a NoRoomError. It returns a server to which this instance
// has no path if that is the best choice, or the only one. Place returns at the latest when ctx
// ends.
func (s *Scheduler) Place(ctx context.Context, clk clock.Clock, r Request) (*Assignment, error) {
	permitRequests := 0

	for {
		now := clk.Now()

		a, err := s.Pick(now, r)
		if errors.Is(err, ErrNoServer) {
			if a, err := s.placeWithoutServer(ctx, clk, &r); a != nil || err != nil {
				return a, err
			}

			continue
		}

		if err != nil {
			return nil, err
		}

		switch a.decide(now, r) {
		case send:
			if a.PathLost(now) || s.acquirePermit(ctx, clk, a) {
				return a, nil
			}

			if ctx.Err() != nil {
				return nil, ctx.Err()
			}

			permitRequests++
			r.onlyUnlimited = permitRequests >= maxPermitRequests

			continue
		case refuse:
			return nil, &OverloadError{RetryAfter: a.retryAfter()}
		case hold:
		}

		select {
		case <-clk.After(holdInterval + rand.N(holdInterval)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
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
	if a.meter == nil || r.Due.IsZero() || a.PathLost(now) {
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
