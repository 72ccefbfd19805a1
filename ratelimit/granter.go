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
	// standInShare is the part of a rate at which the second in order grants. With the
	// whole rate of the first one it stays below the one and a half times that a server
	// bears.
	standInShare = 0.3
	// settleSpan is how long one that comes to be the first in order grants no more than
	// a stand-in: the one before may not know yet.
	settleSpan = 1500 * time.Millisecond
	// forgetSpan is how long after the last question a bucket is kept. One that is made
	// anew is empty.
	forgetSpan = time.Minute
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
	// began is when the first view came.
	began time.Time
	// views are the instances that lead now, last, and those that did within settleSpan.
	// turn counts their changes.
	views   []view
	turn    uint64
	grants  map[register.Process]*grants
	trimmed time.Time
}

// view is which instances led until a time; zero is until now.
type view struct {
	leaders []fleet.InstanceID
	until   time.Time
}

// grants are those of one server.
type grants struct {
	bucket bucket
	asked  time.Time
	// turn is that of the last question.
	turn uint64
}

// SetLeaders sets which instances lead.
func (g *Granter) SetLeaders(now time.Time, leaders []fleet.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.views = slices.DeleteFunc(g.views, func(v view) bool {
		return !v.until.IsZero() && now.Sub(v.until) > settleSpan
	})

	if len(g.views) == 0 {
		g.began = now
	}

	if last := len(g.views) - 1; last >= 0 {
		if slices.Equal(g.views[last].leaders, leaders) {
			return
		}

		g.views[last].until = now
	}

	g.views = append(g.views, view{leaders: slices.Clone(leaders)})
	g.turn++
}

// Grant answers the question for one request, which can wait as long as patience. One that
// is neither the first nor the second in order grants nothing.
func (g *Granter) Grant(now time.Time, server register.Process, rate Rate, patience time.Duration) Permit {
	g.mu.Lock()
	defer g.mu.Unlock()

	share := g.share(now, server)
	if share == 0 {
		return Permit{Wait: retryLater}
	}

	one := g.of(now, server)

	if share < 1 {
		// Others may grant beside this instance, or have done so: what was saved up until
		// they came does not count, and nothing is promised ahead.
		if one.turn != g.turn {
			one.bucket.empty(now)
		}

		patience = 0
	}

	one.turn = g.turn
	wait, granted := one.bucket.take(now, float64(rate)*share, patience)

	return Permit{Granted: granted, Wait: wait}
}

// share returns the part of a server's rate that this instance grants: all of it if it is
// the first in order, and was in all views that others may still have.
func (g *Granter) share(now time.Time, server register.Process) float64 {
	if len(g.views) == 0 {
		return 0
	}

	last := g.views[len(g.views)-1]
	place := slices.Index(RankLeaders(server, last.leaders), g.Self)

	if place < 0 || place >= granters {
		return 0
	}

	if now.Sub(g.began) < settleSpan {
		// Others may have granted until this instance came.
		return standInShare
	}

	for _, v := range g.views {
		if (v.until.IsZero() || now.Sub(v.until) <= settleSpan) && !v.first(server, g.Self) {
			return standInShare
		}
	}

	return 1
}

// first reports whether an instance is the first in order for a server.
func (v view) first(server register.Process, id fleet.InstanceID) bool {
	ranked := RankLeaders(server, v.leaders)

	return len(ranked) > 0 && ranked[0] == id
}

// of returns the grants of a server; the granter is locked.
func (g *Granter) of(now time.Time, server register.Process) *grants {
	if g.grants == nil {
		g.grants = make(map[register.Process]*grants)
	}

	if now.Sub(g.trimmed) > forgetSpan {
		g.trimmed = now

		for server, one := range g.grants {
			if now.Sub(one.asked) > forgetSpan {
				delete(g.grants, server)
			}
		}
	}

	one := g.grants[server]
	if one == nil {
		one = &grants{bucket: bucket{at: now}}
		g.grants[server] = one
	}

	one.asked = now

	return one
}

// granters is how many of the ranked leaders grant requests to one server.
const granters = 2

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
