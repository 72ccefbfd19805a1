package scheduling

import (
	"context"
	"math/rand/v2"
	"time"

	"monsoonlever/clock"
)

const (
	// shortBacklog is the backlog, as the time in which a server reads it, up to which any
	// prompt is sent there: the server is not idle while news of it is on its way. Twice
	// and four times as much lost 0.013 and 0.011 of what callers' answers were worth on
	// four loads with reclaims and bursts, six seeds each.
	shortBacklog = 100 * time.Millisecond
	// holdEvery is how often a prompt that is held is looked at again: half of the pace
	// at which few instances tell each other of their backlogs.
	holdEvery = 20 * time.Millisecond
)

// Place chooses a server as Pick does, and holds a prompt back that can't begin in time
// while servers are busy with others that can. It waits until ctx ends at most.
func (s *Scheduler) Place(ctx context.Context, clk clock.Clock, r Request) (*Assignment, error) {
	for {
		now := clk.Now()

		a, err := s.Pick(now, r)
		if err != nil || !a.held(now, r) {
			return a, err
		}

		select {
		case <-clk.After(holdEvery + rand.N(holdEvery)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// held tells whether a prompt should wait. An engine reads prompts in the order in which
// they come: in an overload each waits behind all others, and none begins in time. One
// that is late already loses nothing by letting those go first that are not.
func (a *Assignment) held(now time.Time, r Request) bool {
	if a.meter == nil || r.Due.IsZero() || now.After(r.HoldUntil) {
		return false
	}

	rate := a.meter.readRate()
	if rate == 0 || readTime(a.backlog, rate) <= shortBacklog {
		return false
	}

	return now.Add(readTime(a.backlog+int64(a.unread), rate)).After(r.Due)
}

// readTime returns the time in which tokens are read at a rate in tokens a second.
func readTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
