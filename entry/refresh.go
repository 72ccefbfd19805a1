package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/fleet"
)

// Leaders (topology.Plan.Leaders) read the rules and the register at the full pace and publish
// changes to the other instances, which read only rarely, or once their copy is too old. If each
// of many instances read at the full pace, the calls of the store, each of which has a price,
// would grow with their number.

const (
	// relaxedRulesWait is how long a read of the rules waits for a change at an instance that
	// others keep up to date; the store responds immediately to a change.
	relaxedRulesWait = 20 * time.Second
	// relaxedRulesInterval is the minimum time between two reads of the rules at such an instance,
	// so that a burst of changes does not cause a burst of reads. Operators expect a change to be
	// in force within seconds.
	relaxedRulesInterval = 500 * time.Millisecond
	// relaxedRegisterInterval is the pause between two reads of the register at such an instance.
	relaxedRegisterInterval = 15 * time.Second
	// staleShare is the fraction of the allowed age from which an instance reads the rules itself.
	staleShare = 0.6
	// maxRegisterAgeShare is the allowed age of the register, as a fraction of the time that a
	// leaving server keeps serving: leaders publish a change within registerReadShare of that time
	// and the interval of heartbeats.
	maxRegisterAgeShare = 0.75
	// firstLeaderReadShare is the age of the register, as a fraction of the same time, at which
	// the first leader reads it, and otherLeadersReadShare the age at which the other leaders do;
	// the heartbeat of the first takes up to a sixth of that time. So one leader reads in place of
	// five, and if it fails the others read before the register of any instance is too old.
	firstLeaderReadShare  = 0.4
	otherLeadersReadShare = 0.68
	// maxRegisterDivergence is how long the register may differ from that of an instance which
	// read it later: updates arrive within some milliseconds, and each instance that reads the
	// register sends them again.
	maxRegisterDivergence = 250 * time.Millisecond
	// missedRulesInterval is the minimum time between two requests for the same newer rules.
	missedRulesInterval = 500 * time.Millisecond
	// directoryCatchUpInterval is the minimum time between two reads of another leader's directory.
	directoryCatchUpInterval = 500 * time.Millisecond
	// watchInterval is the time between two checks of the ages.
	watchInterval = 200 * time.Millisecond
)

// refreshState holds what decides when this instance reads the rules and the register itself.
type refreshState struct {
	mu sync.Mutex
	// differsSince is since when the register differs from a newer one; zero if it does not.
	differsSince time.Time
	// rulesRequested and registerRequested are set if a read was requested since the data became
	// stale.
	rulesRequested, registerRequested bool
	// missedVersion is the newest version of the rules that another instance reported and that was
	// requested, and missedAt when.
	missedVersion uint64
	missedAt      time.Time
	// newerLeader is a leader that has read a newer register, until it is taken, and newerLeaderAt
	// when that was found.
	newerLeader   fleet.InstanceID
	newerLeaderAt time.Time
	// newerDirectory is a leader with a newer directory, until it is taken, and newerDirectoryReadAt
	// when such a leader was last taken.
	newerDirectory       fleet.InstanceID
	newerDirectoryReadAt time.Time
}

// rulesPace returns how the rules are read.
func (p *components) rulesPace() feed.PollTiming {
	if pace, ok := p.memberPace(); ok {
		return pace
	}

	if !p.isLeader() && !p.rulesStale() {
		return feed.PollTiming{MaxWait: relaxedRulesWait, Interval: relaxedRulesInterval}
	}

	wait := min(maxRulesWait, time.Duration(float64(p.rulesCurrency.MaxAge)*rulesWaitShare))
	if !p.plan.Load().FullMesh {
		// The age at other instances is the age here plus the delay of a heartbeat.
		wait /= 2
	}

	return feed.PollTiming{MaxWait: wait, Interval: minReadInterval, FirstWait: p.leaderShare(wait)}
}

// leaderShare returns the part of an interval after which this leader reads for the first time, so
// that the reads of all leaders, which wake each other, are spread evenly over the interval. The
// age of the rules at any instance is then little more than one wait, in place of two.
func (p *components) leaderShare(interval time.Duration) time.Duration {
	plan := p.plan.Load()

	rank := plan.LeaderRank(p.self())
	if rank < 0 {
		return interval
	}

	return interval * time.Duration(rank+1) / time.Duration(len(plan.Leaders))
}

// registerPace returns how the register is read.
func (p *components) registerPace() feed.PollTiming {
	if pace, ok := p.memberPace(); ok {
		return pace
	}

	if !p.isLeader() && !p.registerStale() {
		return feed.PollTiming{Interval: relaxedRegisterInterval}
	}

	// An unknown age is zero. The last read may have been that of another leader.
	age, _ := p.registerCurrency.Age()

	return feed.PollTiming{Interval: max(p.registerReadAge(registerReadShare)-age, 0)}
}

// registerReadAge returns the age of the register at which this instance reads it: a fixed one for
// the first leader, and otherLeadersShare of Bounds.Drain for the others.
func (p *components) registerReadAge(otherLeadersShare float64) time.Duration {
	share := otherLeadersShare
	if p.plan.Load().IsFirstLeader(p.self()) {
		share = firstLeaderReadShare
	}

	return time.Duration(float64(p.settings.Bounds.Drain) * share)
}

// registerDue returns how long a leader may defer its next read because another leader has read.
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

// watchAges requests reads when the rules or the register become too old.
func (p *components) watchAges(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, watchInterval)
		p.checkAges()
	}
}

func (p *components) checkAges() {
	r := &p.refresh

	r.mu.Lock()
	defer r.mu.Unlock()

	// A read from another instance returns as soon as that instance has a change.
	readsStore := p.readsStore()

	rulesStale := readsStore && p.rulesStale()
	if rulesStale && !r.rulesRequested {
		p.rulesFeed.Wake()
	}

	r.rulesRequested = rulesStale

	differs := !r.differsSince.IsZero() && p.clock.Now().Sub(r.differsSince) > maxRegisterDivergence
	registerStale := readsStore && (p.registerStale() || differs)

	if registerStale && !r.registerRequested {
		p.registerFeed.Wake()
	}

	r.registerRequested = registerStale

	if differs {
		r.differsSince = time.Time{}
	}
}

// requestMissedRules requests rules that another instance already has: a waiting read may hang on
// a broken connection.
func (p *components) requestMissedRules(version uint64) {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	now := p.clock.Now()
	if version == f.missedVersion && now.Sub(f.missedAt) < missedRulesInterval {
		return
	}

	if !p.isLeader() && now.Sub(p.rulesFeed.LastRead()) < relaxedRulesInterval {
		// The next heartbeat requests them again.
		return
	}

	f.missedVersion, f.missedAt = version, now
	p.rulesFeed.Wake()
}

// compareRegister compares the register with the digest that another instance had at a time.
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
		p.registerFeed.SourceChanged()
	}
}

// takeNewerLeader returns the address of a leader with a newer register than this leader's own,
// once for each time that one was found.
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

// compareDirectory compares the end of the directory's log with the end that a leader knows.
func (p *components) compareDirectory(leader fleet.InstanceID, end feed.Position) {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	switch {
	case end > p.directoryLog.End():
		f.newerDirectory = leader
	case f.newerDirectory == leader:
		f.newerDirectory = ""
	}
}

// takeNewerDirectory returns the address of a leader with a newer directory, if the store does not
// serve the directory to this instance. Others may already use this instance as a relay, whose
// rules and register depend on the directory.
func (p *components) takeNewerDirectory() (netip.AddrPort, bool) {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	now := p.clock.Now()
	if f.newerDirectory == "" || !p.directoryFeed.SourceLost() || now.Sub(f.newerDirectoryReadAt) < directoryCatchUpInterval {
		return netip.AddrPort{}, false
	}

	id := f.newerDirectory
	f.newerDirectory, f.newerDirectoryReadAt = "", now

	klog.InfoS("directory is read from a leader, since the store does not serve it", "leader", id)

	return p.addressOf(id)
}

// clearRegisterDivergence records that the register is no longer known to differ from a newer one.
func (p *components) clearRegisterDivergence() {
	f := &p.refresh

	f.mu.Lock()
	defer f.mu.Unlock()

	f.differsSince = time.Time{}
}
