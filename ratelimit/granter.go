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
	// standbyShare is the part of a rate at which the second in order grants. With the
	// whole rate of the first one it stays below the one and a half times that a server
	// bears.
	standbyShare = 0.3
	// handoverPeriod is how long one that comes to be the first in order grants no more than
	// a stand-in: the one before may not know yet.
	handoverPeriod = 1500 * time.Millisecond
	// bucketRetention is how long after the last question a bucket is kept. One that is made
	// anew is empty.
	bucketRetention = time.Minute
)

// Permit is the answer to the question whether a request may be sent to a server.
type Permit struct {
	Granted bool
	// Wait is after which time the request may be sent, or, where it is not granted, when
	// the server may have room.
	Wait time.Duration
}

// Granter grants requests to limited servers for all instances. Its exported field is set
// before its first use.
type Granter struct {
	Self fleet.InstanceID

	mu sync.Mutex
	// startedAt is when the first view came.
	startedAt time.Time
	// views are the instances that lead now, last, and those that did within settleSpan.
	// turn counts their changes.
	views       []view
	viewVersion uint64
	grants      map[register.Process]*serverGrants
	trimmedAt   time.Time
}

// view is which instances led until a time; zero is until now.
type view struct {
	leaders []fleet.InstanceID
	until   time.Time
}

// serverGrants are those of one server.
type serverGrants struct {
	bucket      bucket
	lastRequest time.Time
	// viewVersion is that of the last question.
	viewVersion uint64
}

// SetLeaders sets which instances lead.
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

// Grant answers the question for one request, which can wait as long as patience. One that
// is neither the first nor the second in order grants nothing.
func (g *Granter) Grant(now time.Time, server register.Process, rate Rate, maxWait time.Duration) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()

	share := g.share(now, server)
	if share == 0 {
		return Permit{Wait: noGrantRetryDelay}
	}

	state := g.grantsFor(now, server)

	if share < 1 {
		// Others may grant beside this instance, or have done so: what was saved up until
		// they came does not count, and nothing is promised ahead.
		if state.viewVersion != g.viewVersion {
			state.bucket.discardSaved(now)
		}

		maxWait = 0
	}

	state.viewVersion = g.viewVersion
	wait, granted := state.bucket.take(now, float64(rate)*share, maxWait)

	return Permit{Granted: granted, Wait: wait}
}

// share returns the part of a server's rate that this instance grants: all of it if it is
// the first in order, and was in all views that others may still have.
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
		// Others may have granted until this instance came.
		return standbyShare
	}

	for _, v := range g.views {
		if (v.until.IsZero() || now.Sub(v.until) <= handoverPeriod) && !v.ranksFirst(server, g.Self) {
			return standbyShare
		}
	}

	return 1
}

// ranksFirst reports whether an instance is the ranksFirst in order for a server.
func (v view) ranksFirst(server register.Process, id fleet.InstanceID) bool {
	ranked := RankLeaders(server, v.leaders)

	return len(ranked) > 0 && ranked[0] == id
}

// grantsFor returns the grants grantsFor a server; the granter is locked.
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

// RankLeaders orders instances for a server, alike at all that know the same ones. One that
// comes or goes moves only the servers that it has.
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
