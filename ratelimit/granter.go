package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

const (
	// standbyShare is the share of the rate at which the standby grants. Together with the
	// full rate of the leader that ranks first, it stays below one and a half times the limit,
	// which a server tolerates.
	standbyShare = 0.3
	// handoverPeriod is how long a leader that newly ranks first grants no more than a
	// standby: its predecessor may not know the change yet.
	handoverPeriod = 1500 * time.Millisecond
	// bucketRetention is how long after the last request for a server its bucket is kept. A
	// new bucket is empty.
	bucketRetention = time.Minute
)

// Permit states whether a request may be sent to a server.
type Permit struct {
	Granted bool
	// Wait is the delay before the request may be sent or, if it is not granted, before the
	// server may have capacity.
	Wait time.Duration
	// Granter is the instance that granted it. Level is the number of requests at a brittle server,
	// this one included, and Probe is set if the server was not seen to hold so many.
	Granter fleet.InstanceID
	Level   int
	Probe   bool
}

// Granter grants requests to limited servers on behalf of all instances. Its exported field is
// set before its first use. It is safe for concurrent use.
type Granter struct {
	Self fleet.InstanceID

	mu sync.Mutex
	// startedAt is when the leaders were first set.
	startedAt time.Time
	// views are the sets of leaders within handoverPeriod, the current one last. viewVersion
	// counts their changes.
	views       []view
	viewVersion uint64
	grants      map[register.Process]*serverGrants
	trimmedAt   time.Time
}

// view is a set of leaders and when it was replaced; zero for the current one.
type view struct {
	leaders []fleet.InstanceID
	until   time.Time
}

// serverGrants is the state of one server.
type serverGrants struct {
	bucket      bucket
	lastRequest time.Time
	// viewVersion is the version of the views at the last request.
	viewVersion uint64
	// occupancy bounds the requests at a brittle server.
	occupancy occupancy
}

// SetLeaders sets the current leaders.
func (g *Granter) SetLeaders(now time.Time, leaders []fleet.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.views = slices.DeleteFunc(g.views, func(v view) bool {
		return !v.until.IsZero() && now.Sub(v.until) > handoverPeriod
	})

	if len(g.views) == 0 {
		g.startedAt = now
	}

	if last := len(g.views) - 1; last >= 0 {
		if slices.Equal(g.views[last].leaders, leaders) {
			return
		}

		g.views[last].until = now
	}

	g.views = append(g.views, view{leaders: slices.Clone(leaders)})
	g.viewVersion++
}

// Grant decides whether one request may be sent to a server, which can wait up to maxWait.
// Only the two leaders that rank first and second for the server grant anything.
func (g *Granter) Grant(now time.Time, server register.Process, rate Rate, maxWait time.Duration) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()

	share := g.share(now, server)
	if share == 0 {
		return Permit{Wait: noGrantRetryDelay}
	}

	state := g.grantsFor(now, server)

	if share < 1 {
		// Another leader may grant at the same time, or may have until now. Tokens saved
		// before the change are discarded, and no tokens are reserved ahead.
		if state.viewVersion != g.viewVersion {
			state.bucket.discardSaved(now)
		}

		maxWait = 0
	}

	state.viewVersion = g.viewVersion
	wait, granted := state.bucket.take(now, float64(rate)*share, maxWait)

	return Permit{Granted: granted, Wait: wait}
}

// GrantBrittle is Grant for a server that falls over if it has to reject too many requests in a
// second, at most maxRejections. rate may be Unlimited. slots is the number of requests that the
// server runs at a time, zero if it is not known.
func (g *Granter) GrantBrittle(now time.Time, server register.Process, rate Rate, maxRejections, slots int, maxWait time.Duration) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()

	share := g.share(now, server)
	if share == 0 {
		return Permit{Wait: noGrantRetryDelay}
	}

	state := g.grantsFor(now, server)

	permit := state.occupancy.grant(now, maxRejections, slots, g.limitShare(server, share), maxWait)
	if !permit.Granted || rate == Unlimited {
		return permit
	}

	wait, granted := state.bucket.take(now, float64(rate)*share, maxWait)
	if !granted {
		state.occupancy.ended(now, PermitReport{Probe: permit.Probe, Requests: unknownRequests}, true)

		return Permit{Wait: wait}
	}

	permit.Wait = wait

	return permit
}

// limitShare returns the share of a brittle server's limit that this instance uses while its share
// of the rate is as given.
func (g *Granter) limitShare(server register.Process, share float64) float64 {
	switch {
	case share == 1:
		return 1
	case g.views[len(g.views)-1].ranksFirst(server, g.Self):
		return handoverLimitShare
	default:
		return standbyShare
	}
}

// Report records what happened to a request at a brittle server.
func (g *Granter) Report(now time.Time, r PermitReport) {
	g.mu.Lock()
	defer g.mu.Unlock()

	state, own := g.grantsFor(now, r.Server), r.Granter == g.Self

	switch r.Kind {
	case Began:
		state.occupancy.began(now, r, own)
	case Ended:
		state.occupancy.ended(now, r, own)
	case Rejected:
		state.occupancy.rejected(now, r, own)
	}
}

// share returns the share of a server's rate that this instance grants. It grants the full
// rate only if it ranks first in the current view and in all views that other instances may
// still use.
func (g *Granter) share(now time.Time, server register.Process) float64 {
	if len(g.views) == 0 {
		return 0
	}

	last := g.views[len(g.views)-1]
	rank := slices.Index(RankLeaders(server, last.leaders), g.Self)

	if rank < 0 || rank >= grantersPerServer {
		return 0
	}

	if now.Sub(g.startedAt) < handoverPeriod {
		// Other leaders may have granted until this instance started.
		return standbyShare
	}

	for _, v := range g.views {
		if (v.until.IsZero() || now.Sub(v.until) <= handoverPeriod) && !v.ranksFirst(server, g.Self) {
			return standbyShare
		}
	}

	return 1
}

// ranksFirst reports whether an instance ranks first for a server.
func (v view) ranksFirst(server register.Process, id fleet.InstanceID) bool {
	ranked := RankLeaders(server, v.leaders)

	return len(ranked) > 0 && ranked[0] == id
}

// grantsFor returns the state of a server. The caller holds g.mu.
func (g *Granter) grantsFor(now time.Time, server register.Process) *serverGrants {
	if g.grants == nil {
		g.grants = make(map[register.Process]*serverGrants)
	}

	if now.Sub(g.trimmedAt) > bucketRetention {
		g.trimmedAt = now

		for server, state := range g.grants {
			if now.Sub(state.lastRequest) > bucketRetention {
				delete(g.grants, server)
			}
		}
	}

	state := g.grants[server]
	if state == nil {
		state = &serverGrants{bucket: bucket{updatedAt: now}}
		g.grants[server] = state
	}

	state.lastRequest = now

	return state
}

// grantersPerServer is how many of the ranked leaders grant requests to one server.
const grantersPerServer = 2

// RankLeaders orders instances by their rendezvous hash with a server. All instances that know
// the same leaders get the same order, and a leader that joins or leaves changes the granter
// only of the servers for which it ranks first or second.
func RankLeaders(server register.Process, ids []fleet.InstanceID) []fleet.InstanceID {
	type rank struct {
		id     fleet.InstanceID
		weight uint64
	}

	name := server.String()
	ranks := make([]rank, 0, len(ids))

	for _, id := range ids {
		ranks = append(ranks, rank{id: id, weight: xxhash.Sum64String(name + "\x00" + string(id))})
	}

	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id)) })

	ranked := make([]fleet.InstanceID, 0, len(ranks))
	for _, r := range ranks {
		ranked = append(ranked, r.id)
	}

	return ranked
}
