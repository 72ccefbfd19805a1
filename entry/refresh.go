package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/fleet"
)

// Few instances (topology.Plan.Leaders) read rules and register at full pace and tell
// the others; those read for themselves only rarely, or once what they were told is too
// old. Where each of many reads at full pace, the
// calls of the store grow with their number, and all are priced.

const (
	// relaxedRulesWait is how long a read of the rules waits for news at an instance that
	// others keep current; the store answers at once when they change.
	relaxedRulesWait = 20 * time.Second
	// relaxedRulesInterval is the least time between two reads of the rules at such an instance, so
	// that a storm of changes does not become one of reads. Operators expect a change to be
	// in force within seconds.
	relaxedRulesInterval = 500 * time.Millisecond
	// relaxedRegisterInterval is the pause between reads of the register at such an instance.
	relaxedRegisterInterval = 15 * time.Second
	// staleShare is the part of the allowed age from which on an instance asks itself.
	staleShare = 0.6
	// maxRegisterAgeShare is the allowed age of the register, as a share of the time that a
	// leaving server goes on: others tell of it within registerShare of that time and
	// the pace of heartbeats.
	maxRegisterAgeShare = 0.75
	// firstLeaderReadShare is the age of the register, as a share of the same time, at which the
	// first of those that lead reads it, and registerYield that at which the others do: the
	// heartbeat of the first takes up to a sixth. So one reads in place of five, and if it
	// fails the others do before any instance's register is too old.
	firstLeaderReadShare  = 0.4
	otherLeadersReadShare = 0.68
	// maxRegisterDivergence is how long the register may differ from that of an instance which
	// read it later: news on its way takes some milliseconds, and is sent again by
	// each that reads.
	maxRegisterDivergence = 250 * time.Millisecond
	// missedRulesInterval is when rules that others have are asked for again.
	missedRulesInterval = 500 * time.Millisecond
	// watchInterval is the pace at which ages are looked at.
	watchInterval = 200 * time.Millisecond
)

// refreshState decides when this instance reads rules and register for itself.
type refreshState struct {
	mu sync.Mutex
	// differsSince is since when the register differsSince from a newer one; zero is not.
	differsSince time.Time
	// asked tells that a read was asked for since the age was good.
	rulesRequested, registerRequested bool
	// missedVersion is the newest version of the rules that others have and that was asked
	// for, and missedAt when.
	missedVersion uint64
	missedAt      time.Time
	// newerLeader is a leader that has read a newer register, until it is asked for it, and aheadAt when
	// that was found.
	newerLeader   fleet.InstanceID
	newerLeaderAt time.Time
}

// rulesPace is how the rules are read now.
func (p *components) rulesPace() feed.Pace {
	if pace, ok := p.memberPace(); ok {
		return pace
	}

	if !p.isLeader() && !p.rulesStale() {
		return feed.Pace{Wait: relaxedRulesWait, Every: relaxedRulesInterval}
	}

	wait := min(maxRulesWait, time.Duration(float64(p.rulesCurrency.MaxAge)*rulesWaitShare))
	if !p.plan.Load().FullMesh {
		// The others' age is this one's and that of a heartbeat.
		wait /= 2
	}

	return feed.Pace{Wait: wait, Every: minReadInterval}
}

// registerPace is how the register is read now.
func (p *components) registerPace() feed.Pace {
	if pace, ok := p.memberPace(); ok {
		return pace
	}

	if !p.isLeader() && !p.registerStale() {
		return feed.Pace{Every: relaxedRegisterInterval}
	}

	// An age that is not known is zero. The read before may have been at another leader.
	age, _ := p.registerCurrency.Age()

	return feed.Pace{Every: max(p.registerReadAge(registerReadShare)-age, 0)}
}

// registerReadAge is the age of the register at which this instance reads it, where the first of those
// that lead reads it sooner than the others.
func (p *components) registerReadAge(others float64) time.Duration {
	share := others
	if p.plan.Load().IsFirstLeader(p.self()) {
		share = firstLeaderReadShare
	}

	return time.Duration(float64(p.settings.Bounds.Drain) * share)
}

// registerDue is how long those that lead may put the next read off, because one of the
// others has read.
func (p *components) registerDue() time.Duration {
	age, known := p.registerCurrency.Age()
	if !known || !p.isLeader() || !p.readsStore() {
		return 0
	}

	return p.registerReadAge(otherLeadersReadShare) - age
}

func (p *components) rulesStale() bool {
	age, known := p.rulesCurrency.Age()

	return !known || float64(age) > staleShare*float64(p.rulesCurrency.MaxAge)
}

func (p *components) registerStale() bool {
	return !p.registerCurrency.Current()
}

// watchAges asks for reads when what this instance believes grows too old.
func (p *components) watchAges(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, watchInterval)
		p.checkAges()
	}
}

func (p *components) checkAges() {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	// What is read from another instance comes as soon as that has it.
	direct := p.readsStore()

	rules := direct && p.rulesStale()
	if rules && !f.rulesRequested {
		p.rulesFeed.Wake()
	}

	f.rulesRequested = rules

	differs := !f.differsSince.IsZero() && p.clock.Now().Sub(f.differsSince) > maxRegisterDivergence
	stale := direct && (p.registerStale() || differs)

	if stale && !f.registerRequested {
		p.registerFeed.Wake()
	}

	f.registerRequested = stale

	if differs {
		f.differsSince = time.Time{}
	}
}

// requestMissedRules asks for rules that another instance has already: a wait for them may hang
// on a connection that has gone silent.
func (p *components) requestMissedRules(version uint64) {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	now := p.clock.Now()
	if version == f.missedVersion && now.Sub(f.missedAt) < missedRulesInterval {
		return
	}

	if !p.isLeader() && now.Sub(p.rulesFeed.Reached()) < relaxedRulesInterval {
		// The next heartbeat asks again.
		return
	}

	f.missedVersion, f.missedAt = version, now
	p.rulesFeed.Wake()
}

// compareRegister takes in what another instance knew of the register at a time.
func (p *components) compareRegister(id fleet.InstanceID, digest uint64, at time.Time) {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	if digest == p.register.Digest() {
		p.registerCurrency.Confirm(at)

		f.differsSince = time.Time{}

		return
	}

	now := p.clock.Now()

	age, known := p.registerCurrency.Age()
	if !known || !at.After(now.Add(-age)) {
		return
	}

	if f.differsSince.IsZero() {
		f.differsSince = now
	}

	plan := p.plan.Load()
	if !plan.FullMesh && plan.IsLeader(p.self()) && plan.IsLeader(id) && now.Sub(f.newerLeaderAt) >= maxRegisterDivergence {
		f.newerLeader, f.newerLeaderAt = id, now
		p.registerFeed.Redirect()
	}
}

// takeNewerLeader returns where a leader reads a newer register than its own, once for each time that
// one was found.
func (p *components) takeNewerLeader() (netip.AddrPort, bool) {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	id := f.newerLeader
	f.newerLeader = ""

	if id == "" {
		return netip.AddrPort{}, false
	}

	return p.addressOf(id)
}

// clearRegisterDivergence ends the wait for a register that was newer elsewhere.
func (p *components) clearRegisterDivergence() {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	f.differsSince = time.Time{}
}
