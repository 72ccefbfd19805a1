package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
)

const (
	// recordInterval is the time between two records of an instance on the board.
	recordInterval = 2 * time.Second
	// relaxedRecordInterval is the time between two records of an instance whose spending others
	// record, and boardReadRelaxed that between two reads of one that hears all others
	// directly. Neither holds a duty.
	relaxedRecordInterval    = 8 * time.Second
	relaxedBoardReadInterval = 15 * time.Second
	// minRecordInterval is the least time between two records of an instance that has
	// something to tell. Those that lead renew their lease and record limits with them,
	// however many others there are: a longer one would let the lease lapse.
	minRecordInterval = 250 * time.Millisecond
	// recordIntervalPerMember is what each other instance adds to the least time between two records:
	// six times what the store takes for an append.
	recordIntervalPerMember = 25 * time.Millisecond
	// initialRulesTimeout is how long the board waits for the rules, and rulesLook how often
	// they are looked for.
	initialRulesTimeout = 1500 * time.Millisecond
	rulesPollInterval   = 20 * time.Millisecond
)

// awaitRules waits until there are rules, without which nothing is served, or for some
// calls of the store.
func (p *components) awaitRules(ctx context.Context) {
	for ctx.Err() == nil && p.rules.Load() == nil && p.clock.Now().Sub(p.startedAt) < initialRulesTimeout {
		clock.Sleep(ctx, p.clock, rulesPollInterval)
	}
}

// boardWriteInterval is the time between two records. Those that may hold duties renew their
// lease with them; what others have to say is in their heartbeats, and their records only
// outlive a loss of all.
func (p *components) boardWriteInterval() time.Duration {
	now := p.clock.Now()

	switch plan := p.plan.Load(); {
	case plan.IsLeader(p.self()):
		return recordInterval
	case plan.FullMesh && p.limits.RecordedByOthers(now):
		return relaxedRecordInterval
	default:
		return recordInterval
	}
}

// boardReadInterval is the time between two reads of the board.
func (p *components) boardReadInterval() time.Duration {
	now := p.clock.Now()

	switch plan := p.plan.Load(); {
	case plan.IsLeader(p.self()):
		return 0
	case plan.FullMesh && p.limits.AcknowledgedByAll(now):
		return relaxedBoardReadInterval
	default:
		return 0
	}
}

// minBoardWriteInterval is the least time between two records: those that write to the board write no
// more than it takes.
func (p *components) minBoardWriteInterval() time.Duration {
	if p.plan.Load().IsLeader(p.self()) {
		return minRecordInterval
	}

	return max(minRecordInterval, time.Duration(p.members.Count())*recordIntervalPerMember)
}
