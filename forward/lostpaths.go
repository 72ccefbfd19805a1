package forward

import (
	"context"
	"slices"
	"time"

	"monsoonlever/clock"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

const (
	// maxCompared bounds the servers to which connections are opened at a time to find out whether this
	// instance has a path to any.
	maxCompared = 3
	// endCheckInterval is the time between two checks of a server that refuses connections while
	// most others can't be reached either, and endCheckTimeout bounds all of them: by then servers
	// that crashed together are back, and the entry of one that ended is gone.
	endCheckInterval = 250 * time.Millisecond
	endCheckTimeout  = 5 * time.Second
)

// endedBesideOthers reports whether a server that refuses connections has ended, while this instance
// reaches few other servers: these may have ended as well, or the paths to all of them are lost. It has
// ended if it still refuses connections after another server of its service has accepted one, or if
// another process has its address. A server of which this instance or another one hears runs; what they
// hear within the first interval was in flight when the server ended.
func (f *Forwarder) endedBesideOthers(ctx context.Context, a *scheduling.Assignment, lostAt time.Time) bool {
	server := upstream.Server{ID: a.ID(), Address: a.Address()}
	settledAt := lostAt.Add(endCheckInterval)

	clock.Sleep(ctx, f.Clock, endCheckInterval)

	for f.Clock.Now().Sub(lostAt) < endCheckTimeout {
		// By then other instances have said if they hear from the server.
		clock.Sleep(ctx, f.Clock, endCheckInterval)

		if a.HeardAfter(settledAt) {
			return false
		}

		if a.AddressTaken() || f.reachesAnother(ctx, a) && f.Pool.Terminated(ctx, server) {
			return true
		}
	}

	return false
}

// reachesAnother reports whether another server of the service accepts a connection. Of those to which no
// path is known to be lost, the ones that were heard of last are tried.
func (f *Forwarder) reachesAnother(ctx context.Context, a *scheduling.Assignment) bool {
	checkCtx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()

	others := slices.Clone(f.Scheduler.Paths(f.Clock.Now())[a.Service()])
	others = slices.DeleteFunc(others, func(p scheduling.Path) bool { return p.Lost || p.ID == a.ID() })
	slices.SortFunc(others, func(x, y scheduling.Path) int { return y.HeardAt.Compare(x.HeardAt) })

	return slices.ContainsFunc(others[:min(len(others), maxCompared)], func(p scheduling.Path) bool {
		return f.Pool.Connect(checkCtx, upstream.Server{ID: p.ID, Address: p.Address}) == nil
	})
}
