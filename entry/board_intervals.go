package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
)

const (
	// recordInterval is the time between two records of an instance on the board.
	recordInterval = 2 * time.Second
	// relaxedRecordInterval is the time between two records of an instance whose consumption
	// others record, and relaxedBoardReadInterval the time between two reads of an instance that
	// receives messages of all others directly. Neither instance holds duties.
	relaxedRecordInterval    = 8 * time.Second
	relaxedBoardReadInterval = 15 * time.Second
	// minRecordInterval is the minimum time between two records of an instance that has something
	// to record. Leaders renew their lease and record limits with these records, regardless of the
	// number of instances: a longer interval would let the lease expire.
	minRecordInterval = 250 * time.Millisecond
	// recordIntervalPerMember is what each other instance adds to the minimum time between two
	// records: six times the time that the store takes for an append.
	recordIntervalPerMember = 25 * time.Millisecond
	// initialRulesTimeout is how long the board waits for the rules, and rulesPollInterval how
	// often they are checked for.
	initialRulesTimeout = 1500 * time.Millisecond
	rulesPollInterval   = 20 * time.Millisecond
)

// awaitRules waits until rules are known, without which nothing is served, or for the time of some
// calls of the store.
func (p *components) awaitRules(ctx context.Context) {
	for ctx.Err() == nil && p.rules.Load() == nil && p.clock.Now().Sub(p.startedAt) < initialRulesTimeout {
		clock.Sleep(ctx, p.clock, rulesPollInterval)
	}
}

// boardWriteInterval returns the time between two records. Instances that may hold duties renew
// their lease with them. The content of all other records is also in heartbeats; those records
// only preserve it through a loss of all instances.
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

// boardReadInterval returns the minimum time between two reads of the board; zero reads in each
// round.
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

// minBoardWriteInterval returns the minimum time between two records, so that all writers together
// stay below the board's capacity.
func (p *components) minBoardWriteInterval() time.Duration {
	if p.plan.Load().IsLeader(p.self()) {
		return minRecordInterval
	}

	return max(minRecordInterval, time.Duration(p.members.Count())*recordIntervalPerMember)
}
