package scheduling

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"monsoonlever/clock"
)

const (
	// shortBacklog is the backlog, as the time in which a server reads it, up to which any
	// prompt is sent there: the server is not idle while news of it is on its way.
	shortBacklog = 100 * time.Millisecond
	// refuseMargin is how long before its caller would leave a prompt that was held is
	// expected to begin: a rate of reading is off by a tenth.
	refuseMargin = 300 * time.Millisecond
	// holdInterval is how often a prompt that is held is looked at again: half of the pace
	// at which few instances tell each other of their backlogs.
	holdInterval = 20 * time.Millisecond
)

// decision is what becomes of a prompt.
type decision int

const (
	// send sends the prompt on now.
	send decision = iota
	// hold lets it wait here.
	hold
	// refuse tells the caller to come back.
	refuse
)

// OverloadError means that no server can begin a prompt in time and that it can't be
// held any longer.
type OverloadError struct {
	// RetryAfter is when the servers will have read most of what waits there now.
	RetryAfter time.Duration
}

// Error says when there may be room.
func (e *OverloadError) Error() string {
	return "servers are busy for longer than the caller waits, try again in " + e.RetryAfter.String()
}

// Place chooses a server as Pick does, holds a prompt back that can't begin in time while
// servers are busy with others that can, and returns an OverloadError once it has to be
// given up. A server that limits its requests is chosen only with a permit; where no other
// server is left the request waits for one, or gets a NoRoomError. Place waits until ctx
// ends at most.
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
			if s.acquirePermit(ctx, clk, a) {
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

// placeWithoutServer places a request that no server is left for at first: at one that it was to spare,
// or at one that may have room in time. Without an assignment and an error the request is to
// be placed anew.
func (s *Scheduler) placeWithoutServer(ctx context.Context, clk clock.Clock, r *Request) (*Assignment, error) {
	if r.Final && !r.allowTrial {
		r.allowTrial = true

		return nil, nil
	}

	r.onlyUnlimited = false

	return s.awaitRoom(ctx, clk, *r)
}

// decide decides what becomes of a prompt whose best server is that of the assignment. It
// answers an overload, in which an engine that reads prompts in the order in which they
// come lets each wait behind all others, and none begins in time. One that is late
// already loses nothing by letting those go first that are not; if that takes until its
// caller leaves, it is refused: sent on it would only make others late.
func (a *Assignment) decide(now time.Time, r Request) decision {
	if a.meter == nil || r.Due.IsZero() {
		return send
	}

	rate := a.meter.medianReadRate()
	if rate == 0 || readTime(a.backlog, rate) <= shortBacklog {
		return send
	}

	begin := now.Add(readTime(a.backlog+int64(a.uncachedTokens), rate))

	switch {
	case !begin.After(r.Due):
		return send
	case now.After(r.HoldUntil) || begin.Add(refuseMargin).After(r.CallerDeadline):
		return refuse
	default:
		return hold
	}
}

// retryAfter returns when a caller that is refused should come back: half of what waits now
// is read by then, and those that are refused together come back apart.
func (a *Assignment) retryAfter() time.Duration {
	backlog := max(readTime(a.backlog, a.meter.medianReadRate()), shortBacklog)

	return backlog/2 + rand.N(backlog)
}

// readTime returns the time in which tokens are read at a rate in tokens a second.
func readTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
