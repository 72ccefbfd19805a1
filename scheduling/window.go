package scheduling

import (
	"math"
	"time"
)

const (
	// windowBacklog is the backlog of each server, as the time to read it, that instances with
	// competing prompts aim for together: shortBacklog, and what is read until they learn of it.
	windowBacklog = 2 * shortBacklog
	// shareTime is the time over which an instance's share of the backlog is averaged.
	shareTime = time.Second
)

// window bounds what an instance has at the servers of a service while prompts compete. Without it
// all instances would send to a server as soon as they learn that it has room. An instance sends a
// prompt when one of its own was read, and its part of the backlog of all stays what it was before.
type window struct {
	// own and total are averages of the tokens of this instance, and of all, that wait at servers.
	own, total float64
	updatedAt  time.Time
}

// update adds a measurement to the averages.
func (w *window) update(now time.Time, own, total int64) {
	weight := 1.0
	if !w.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(w.updatedAt).Seconds()/shareTime.Seconds())
	}

	w.own += weight * (float64(own) - w.own)
	w.total += weight * (float64(total) - w.total)
	w.updatedAt = now
}

// tokens returns the share of this instance in a number of tokens.
func (w *window) tokens(of float64) float64 {
	if w.total <= 0 {
		return of
	}

	return of * min(1, w.own/w.total)
}

// serviceBacklog returns the tokens of this instance, and of all, that wait at the servers of a service.
func (s *Scheduler) serviceBacklog(now time.Time, r *Request) (own, total int64) {
	for _, srv := range s.serversFor(r, func(srv *server) bool { return !srv.isLeaving() }) {
		pending := srv.pendingTokens.Load()
		own += pending
		total += pending + srv.remotePending(now)
	}

	return own, total
}
