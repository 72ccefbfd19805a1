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
	// something to tell, and boardWrite what each instance adds to it: six times
	// what the store takes for an append.
	boardSoonest = 250 * time.Millisecond
	boardWrite   = 25 * time.Millisecond
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
// lease with them; what others have to say is in their words, and their records only
// outlive a loss of all.
func (p *parts) boardPace() time.Duration {
	if !p.limits.Recorded(p.clock.Now()) {
		return boardEvery
	}

	return boardRelaxed
}

// boardReads is the time between two reads of the board.
func (p *parts) boardReads() time.Duration {
	if p.members.Leading(p.self()) || !p.limits.Quick(p.clock.Now()) {
		return 0
	}

	return boardReadRelaxed
}

// boardSoon is the least time between two records: all instances together write no
// more than the topic takes.
func (p *parts) boardSoon() time.Duration {
	return max(boardSoonest, time.Duration(p.members.Count())*boardWrite)
}
