package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
)

const (
	// boardEvery is the time between two records of an instance on the board.
	boardEvery = 2 * time.Second
	// boardRelaxed is the time between two records of an instance whose spending others
	// record, and boardReadRelaxed that between two reads of one that hears all others
	// directly. Neither holds a duty.
	boardRelaxed     = 8 * time.Second
	boardReadRelaxed = 15 * time.Second
	// boardSoonest is the least time between two records of an instance that has
	// something to tell. Those that lead renew their lease and record limits with them,
	// however many others there are: a longer one would let the lease lapse.
	boardSoonest = 250 * time.Millisecond
	// boardWrite is what each other instance adds to the least time between two records:
	// six times what the store takes for an append.
	boardWrite = 25 * time.Millisecond
	// rulesPatience is how long the board waits for the rules, and rulesLook how often
	// they are looked for.
	rulesPatience = 1500 * time.Millisecond
	rulesLook     = 20 * time.Millisecond
)

// awaitRules waits until there are rules, without which nothing is served, or for some
// calls of the store.
func (p *parts) awaitRules(ctx context.Context) {
	for ctx.Err() == nil && p.rules.Load() == nil && p.clock.Now().Sub(p.built) < rulesPatience {
		clock.Sleep(ctx, p.clock, rulesLook)
	}
}

// boardPace is the time between two records. Those that may hold duties renew their
// lease with them; what others have to say is in their heartbeats, and their records only
// outlive a loss of all.
func (p *parts) boardPace() time.Duration {
	now := p.clock.Now()

	switch plan := p.plan.Load(); {
	case plan.IsLeader(p.self()):
		return boardEvery
	case plan.FullMesh && p.limits.RecordedByOthers(now):
		return boardRelaxed
	default:
		return boardEvery
	}
}

// boardReads is the time between two reads of the board.
func (p *parts) boardReads() time.Duration {
	now := p.clock.Now()

	switch plan := p.plan.Load(); {
	case plan.IsLeader(p.self()):
		return 0
	case plan.FullMesh && p.limits.AcknowledgedByAll(now):
		return boardReadRelaxed
	default:
		return 0
	}
}

// boardSoon is the least time between two records: those that write to the board write no
// more than it takes.
func (p *parts) boardSoon() time.Duration {
	if p.plan.Load().IsLeader(p.self()) {
		return boardSoonest
	}

	return max(boardSoonest, time.Duration(p.members.Count())*boardWrite)
}
