package entry

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/platform"
	"monsoonlever/replica"
	"monsoonlever/topology"
	"monsoonlever/upstream"
)

// Names of the feeds that instances read from each other.
const (
	feedDirectory = "directory"
	feedRules     = "rules"
	feedRegister  = "register"
)

const (
	// relayReadWait is how long a read from another instance waits for a change.
	relayReadWait = 10 * time.Second
	// relayReadInterval is the minimum time between two reads from an instance that responds
	// immediately.
	relayReadInterval = 20 * time.Millisecond
	// storeFallbackDelay is how long an instance without a reachable relay waits before it reads
	// the store itself, and storeFallbackPerInstance what each instance adds to that time and to
	// the pause between such reads: 100 reads a second in total, regardless of the number of
	// instances.
	storeFallbackDelay       = 2 * time.Second
	storeFallbackPerInstance = 10 * time.Millisecond
	// relayDialTimeout bounds the dialing of another instance.
	relayDialTimeout = 500 * time.Millisecond
	// minConfirmationLead is how much newer another leader's confirmation must be before an
	// instance reads from that leader instead.
	minConfirmationLead = time.Second
	// storeRecoveryWindow is how long after a successful read of the directory at the store a
	// leader that lagged behind reads the other feeds there again.
	storeRecoveryWindow = 1500 * time.Millisecond
	// relayLogsRetryInterval is the minimum time between two attempts to read the full snapshots
	// that subscribers may request.
	relayLogsRetryInterval = time.Second
)

// newSource returns a source of a feed that reads from the store or from another instance.
func newSource(name string, origin feed.Source, log *replica.Log, upstreamOf func() replica.Upstream, servesSubscribers func() bool) *replica.Source {
	return &replica.Source{
		Feed: name, Origin: origin, Log: log, Upstream: upstreamOf, KeepLog: servesSubscribers, Dialer: upstream.Dialer(relayDialTimeout),
	}
}

// servesSubscribers reports whether other instances may read from this one.
func (p *components) servesSubscribers() bool {
	plan := p.plan.Load()

	return !plan.FullMesh && plan.Relay
}

// loadRelayLogs has a relay read full snapshots of feeds that it has not logged yet.
func (p *components) loadRelayLogs() {
	now := p.clock.Now().UnixNano()
	if last := p.relayLogsReadAt.Load(); !p.servesSubscribers() || now-last < int64(relayLogsRetryInterval) || !p.relayLogsReadAt.CompareAndSwap(last, now) {
		return
	}

	for follower, log := range p.relayLogs {
		if !log.Loaded() {
			follower.RequestSnapshot()
		}
	}
}

// confirmStoreReads calls confirm only for reads from the store: what another instance has read
// may be older.
func confirmStoreReads(s *replica.Source, confirm func(requestedAt time.Time)) func(time.Time) {
	return func(requestedAt time.Time) {
		if !s.LastReadRelayed() {
			confirm(requestedAt)
		}
	}
}

// sameServerEntry reports whether two entries of a backend server differ in nothing but counters of
// the server's own heartbeats.
func sameServerEntry(before, after feed.Entry) bool {
	return platform.SameServerEntry(before.Data, after.Data)
}

// sameEntry reports whether an entry was rewritten unchanged.
func sameEntry(before, after feed.Entry) bool { return bytes.Equal(before.Data, after.Data) }

// directoryPace returns how the directory is read.
func (p *components) directoryPace() feed.PollTiming {
	if pace, ok := p.memberPace(); ok && p.directory.Load() != nil {
		return pace
	}

	return feed.PollTiming{MaxWait: relaxedRulesWait, Interval: minReadInterval, MaxBackoff: p.storeFallbackInterval()}
}

// upstream returns where this instance reads the rules and the register.
func (p *components) upstream() replica.Upstream {
	view, plan := p.directory.Load(), p.plan.Load()

	switch {
	case view == nil:
		return replica.Upstream{}
	case view.FullMesh(), p.isolated(), plan.IsLeader(p.self()) && !p.lagsBehind(plan):
		return replica.Upstream{Origin: true}
	case view.Forming:
		// All other instances would read from the first instance at the same time.
		return replica.Upstream{}
	case plan.Relay:
		return p.upstreamAt(p.chooseLeader(plan))
	case len(plan.Relays) > 0 && p.links.Reachable(p.clock.Now(), plan.Relays[0].ID):
		return p.upstreamAt(plan.Relays[0].ID)
	default:
		return replica.Upstream{}
	}
}

// directoryUpstream returns where this instance reads the directory, without which it knows no
// other instance. Leaders always read it from the store, which shows whether they can reach the
// store.
func (p *components) directoryUpstream() replica.Upstream {
	view := p.directory.Load()
	if view == nil || view.Forming && p.namedRelay.Load() || p.isLeader() {
		return replica.Upstream{Origin: true}
	}

	return p.upstream()
}

// lagsBehind reports whether the store rejects this leader while it serves other leaders. It then
// reads from those, since its subscribers have no other source.
func (p *components) lagsBehind(plan *topology.Plan) bool {
	own := p.ownConfirmedAt.Load()
	if own == 0 || p.clock.Now().Sub(time.Unix(0, p.storeDirectoryReadAt.Load())) < storeRecoveryWindow {
		return false
	}

	return p.confirmations.newest(plan.Leaders).Sub(time.Unix(0, own)) > minConfirmationLead
}

func (p *components) upstreamAt(id fleet.InstanceID) replica.Upstream {
	address, _ := p.addressOf(id)

	return replica.Upstream{Address: address}
}

// readsStore reports whether this instance reads the store itself.
func (p *components) readsStore() bool { return p.upstream().Origin }

// isolated reports whether this instance has received nothing from other instances for so long
// that it reads the store itself.
func (p *components) isolated() bool {
	now := p.clock.Now()
	view := p.directory.Load()
	forming := view != nil && view.Forming && now.Sub(view.at) < directoryTTL

	if forming || p.links.Connected(now) {
		p.storeFallbackAt.Store(0)

		return false
	}

	if fallbackAt := p.storeFallbackAt.Load(); fallbackAt == 0 {
		// The jitter spreads the reads of instances that lost their relays at the same time.
		delay := storeFallbackDelay + rand.N(p.storeFallbackInterval())
		p.storeFallbackAt.CompareAndSwap(0, now.Add(delay).UnixNano())
	} else if now.UnixNano() > fallbackAt {
		return true
	}

	return false
}

// storeFallbackInterval returns the pause between two reads of the store by an instance without a
// reachable relay.
func (p *components) storeFallbackInterval() time.Duration {
	return max(time.Duration(p.instanceCount())*storeFallbackPerInstance, time.Second)
}

// chooseLeader returns the leader that a relay reads from. Among the reachable leaders with a
// recent confirmation of the rules, each relay prefers one by its own hash, which spreads the
// load.
func (p *components) chooseLeader(plan *topology.Plan) fleet.InstanceID {
	now := p.clock.Now()
	newest := p.confirmations.newest(plan.Leaders)

	fresh := slices.DeleteFunc(slices.Clone(plan.Leaders), func(id fleet.InstanceID) bool {
		return id == p.self() || !p.links.Reachable(now, id) || newest.Sub(p.confirmations.last(id)) > minConfirmationLead
	})
	if len(fresh) == 0 {
		return ""
	}

	return slices.MaxFunc(fresh, func(a, b fleet.InstanceID) int {
		return cmp.Compare(topology.PairWeight(p.self(), a), topology.PairWeight(p.self(), b))
	})
}

// updateUpstream redirects the feeds immediately if the upstream changed.
func (p *components) updateUpstream() {
	p.loadRelayLogs()

	next := p.upstream()
	if before := p.lastUpstream.Swap(&next); before == nil || *before != next {
		p.rulesFeed.SourceChanged()
		p.registerFeed.SourceChanged()
		p.directoryFeed.Wake()
	}
}

// memberPace returns the pace of any feed at an instance that follows others outside of a full
// mesh: of reads from another instance, or from the store while no relay is reachable. It returns
// false for leaders, and members of a full mesh, that read the store.
func (p *components) memberPace() (feed.PollTiming, bool) {
	switch {
	case !p.readsStore():
		return feed.PollTiming{MaxWait: relayReadWait, Interval: relayReadInterval}, true
	case !p.fullMesh() && !p.isLeader():
		interval := p.storeFallbackInterval()

		return feed.PollTiming{Interval: interval, MaxBackoff: interval}, true
	default:
		return feed.PollTiming{}, false
	}
}
