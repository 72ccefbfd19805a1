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
	// relaxedWait is how long a read of the rules waits for news at an instance that
	// others keep current; the store answers at once when they change.
	relaxedWait = 20 * time.Second
	// relaxedPause is the least time between two reads of the rules at such an instance, so
	// that a storm of changes does not become one of reads. Operators expect a change to be
	// in force within seconds.
	relaxedPause = 500 * time.Millisecond
	// relaxedRegister is the pause between reads of the register at such an instance.
	relaxedRegister = 15 * time.Second
	// staleShare is the part of the allowed age from which on an instance asks itself.
	staleShare = 0.6
	// registerAge is the allowed age of the register, as a share of the time that a
	// leaving server goes on: others tell of it within registerShare of that time and
	// the pace of heartbeats.
	registerAge = 0.75
	// registerFirst is the age of the register, as a share of the same time, at which the
	// first of those that lead reads it, and registerYield that at which the others do: the
	// heartbeat of the first takes up to a sixth. So one reads in place of five, and if it
	// fails the others do before any instance's register is too old.
	registerFirst = 0.4
	registerYield = 0.68
	// differing is how long the register may differ from that of an instance which
	// read it later: news on its way takes some milliseconds, and is sent again by
	// each that reads.
	differing = 250 * time.Millisecond
	// missedAgain is when rules that others have are asked for again.
	missedAgain = 500 * time.Millisecond
	// watchEvery is the pace at which ages are looked at.
	watchEvery = 200 * time.Millisecond
)

// freshness decides when this instance reads rules and register for itself.
type freshness struct {
	mu sync.Mutex
	// differs is since when the register differs from a newer one; zero is not.
	differs time.Time
	// asked tells that a read was asked for since the age was good.
	askedRules, askedRegister bool
	// missed is the newest version of the rules that others have and that was asked
	// for, and missedAt when.
	missed   uint64
	missedAt time.Time
	// ahead is a leader that has read a newer register, until it is asked for it, and aheadAt when
	// that was found.
	ahead   fleet.InstanceID
	aheadAt time.Time
}

// rulesPace is how the rules are read now.
func (p *parts) rulesPace() feed.PollTiming {
	if pace, ok := p.memberPace(); ok {
		return pace
	}

	if !p.leads() && !p.rulesStale() {
		return feed.PollTiming{MaxWait: relaxedWait, Interval: relaxedPause}
	}

	wait := min(rulesWait, time.Duration(float64(p.currency.Bound)*rulesShare))
	if !p.plan.Load().FullMesh {
		// The others' age is this one's and that of a heartbeat.
		wait /= 2
	}

	return feed.PollTiming{MaxWait: wait, Interval: rulesPause}
}

// registerPace is how the register is read now.
func (p *parts) registerPace() feed.PollTiming {
	if pace, ok := p.memberPace(); ok {
		return pace
	}

	if !p.leads() && !p.registerStale() {
		return feed.PollTiming{Interval: relaxedRegister}
	}

	// An age that is not known is zero. The read before may have been at another leader.
	age, _ := p.registered.Age()

	return feed.PollTiming{Interval: max(p.registerTurn(registerShare)-age, 0)}
}

// registerTurn is the age of the register at which this instance reads it, where the first of those
// that lead reads it sooner than the others.
func (p *parts) registerTurn(others float64) time.Duration {
	share := others
	if p.plan.Load().IsFirstLeader(p.self()) {
		share = registerFirst
	}

	return time.Duration(float64(p.settings.Bounds.Drain) * share)
}

// registerDue is how long those that lead may put the next read off, because one of the
// others has read.
func (p *parts) registerDue() time.Duration {
	age, known := p.registered.Age()
	if !known || !p.leads() || !p.direct() {
		return 0
	}

	return p.registerTurn(registerYield) - age
}

func (p *parts) rulesStale() bool {
	age, known := p.currency.Age()

	return !known || float64(age) > staleShare*float64(p.currency.Bound)
}

func (p *parts) registerStale() bool {
	return !p.registered.Current()
}

// watch asks for reads when what this instance believes grows too old.
func (p *parts) watch(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, watchEvery)
		p.watchOnce()
	}
}

func (p *parts) watchOnce() {
	f := &p.fresh

	f.mu.Lock()
	defer f.mu.Unlock()

	// What is read from another instance comes as soon as that has it.
	direct := p.direct()

	rules := direct && p.rulesStale()
	if rules && !f.askedRules {
		p.rulesFeed.Wake()
	}

	f.askedRules = rules

	differs := !f.differs.IsZero() && p.clock.Now().Sub(f.differs) > differing
	stale := direct && (p.registerStale() || differs)

	if stale && !f.askedRegister {
		p.registerFeed.Wake()
	}

	f.askedRegister = stale

	if differs {
		f.differs = time.Time{}
	}
}

// missedRules asks for rules that another instance has already: a wait for them may hang
// on a connection that has gone silent.
func (p *parts) missedRules(version uint64) {
	f := &p.fresh

	f.mu.Lock()
	defer f.mu.Unlock()

	now := p.clock.Now()
	if version == f.missed && now.Sub(f.missedAt) < missedAgain {
		return
	}

	if !p.leads() && now.Sub(p.rulesFeed.LastRead()) < relaxedPause {
		// The next heartbeat asks again.
		return
	}

	f.missed, f.missedAt = version, now
	p.rulesFeed.Wake()
}

// compareRegister takes in what another instance knew of the register at a time.
func (p *parts) compareRegister(id fleet.InstanceID, digest uint64, at time.Time) {
	f := &p.fresh

	f.mu.Lock()
	defer f.mu.Unlock()

	if digest == p.register.Digest() {
		p.registered.Confirm(at)

		f.differs = time.Time{}

		return
	}

	now := p.clock.Now()

	age, known := p.registered.Age()
	if !known || !at.After(now.Add(-age)) {
		return
	}

	if f.differs.IsZero() {
		f.differs = now
	}

	plan := p.plan.Load()
	if !plan.FullMesh && plan.IsLeader(p.self()) && plan.IsLeader(id) && now.Sub(f.aheadAt) >= differing {
		f.ahead, f.aheadAt = id, now
		p.registerFeed.SourceChanged()
	}
}

// registerAhead returns where a leader reads a newer register than its own, once for each time that
// one was found.
func (p *parts) registerAhead() (netip.AddrPort, bool) {
	f := &p.fresh

	f.mu.Lock()
	defer f.mu.Unlock()

	id := f.ahead
	f.ahead = ""

	if id == "" {
		return netip.AddrPort{}, false
	}

	return p.addressOf(id)
}

// registerCaughtUp ends the wait for a register that was newer elsewhere.
func (p *parts) registerCaughtUp() {
	f := &p.fresh

	f.mu.Lock()
	defer f.mu.Unlock()

	f.differs = time.Time{}
}
