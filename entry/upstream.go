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

// The feeds that instances read from each other.
const (
	feedDirectory = "directory"
	feedRules     = "rules"
	feedRegister  = "register"
)

const (
	// relayReadWait is how long a read from another instance waits for a change.
	relayReadWait = 10 * time.Second
	// relayReadInterval keeps an instance that answers at once from being asked without a pause.
	relayReadInterval = 20 * time.Millisecond
	// storeFallbackDelay is how long an instance without a reachable relay waits before it reads the
	// store by itself, and unlinkedShare what each instance adds to that time and to the pause
	// between such reads: all together make 100 of them a second, however many they are.
	storeFallbackDelay       = 2 * time.Second
	storeFallbackPerInstance = 10 * time.Millisecond
	// relayDialTimeout bounds the opening of a connection to another instance.
	relayDialTimeout = 500 * time.Millisecond
	// minConfirmationLead is by how much another leader's confirmation has to be newer for a relay to read
	// from it.
	minConfirmationLead = time.Second
	// storeRecoveryWindow is how long a leader that was behind reads at the store again after it has
	// read the directory there.
	storeRecoveryWindow = 1500 * time.Millisecond
	// relayLogsRetryInterval is the least time between two attempts to read what others may ask for.
	relayLogsRetryInterval = time.Second
)

// newSource returns a source of a feed that reads from the store or from another instance.
func newSource(name string, origin feed.Source, log *replica.Log, upstreamOf func() replica.Upstream, servesSubscribers func() bool) *replica.Source {
	return &replica.Source{
		Feed: name, Origin: origin, Log: log, Upstream: upstreamOf, Kept: servesSubscribers, Dialer: upstream.Dialer(relayDialTimeout),
	}
}

// servesSubscribers reports whether other instances may read from this one.
func (p *components) servesSubscribers() bool {
	plan := p.plan.Load()

	return !plan.FullMesh && plan.Relay
}

// loadRelayLogs has a relay read the whole of what it has not kept for others yet.
func (p *components) loadRelayLogs() {
	now := p.clock.Now().UnixNano()
	if last := p.relayLogsReadAt.Load(); !p.servesSubscribers() || now-last < int64(relayLogsRetryInterval) || !p.relayLogsReadAt.CompareAndSwap(last, now) {
		return
	}

	for follower, log := range p.relayLogs {
		if !log.Loaded() {
			follower.Reread()
		}
	}
}

// confirmStoreReads calls confirm for reads of the store alone: what another instance has read
// may be older.
func confirmStoreReads(s *replica.Source, confirm func(requestedAt time.Time)) func(time.Time) {
	return func(requestedAt time.Time) {
		if !s.Relayed() {
			confirm(requestedAt)
		}
	}
}

// sameServerEntry reports whether an entry of a backend server only counts on.
func sameServerEntry(before, after feed.Entry) bool {
	return platform.SameServerEntry(before.Data, after.Data)
}

// sameEntry reports whether an entry was only written again.
func sameEntry(before, after feed.Entry) bool { return bytes.Equal(before.Data, after.Data) }

// directoryPace is how the directory is read now.
func (p *components) directoryPace() feed.Pace {
	if pace, ok := p.memberPace(); ok && p.directory.Load() != nil {
		return pace
	}

	return feed.Pace{Wait: relaxedRulesWait, Every: minReadInterval, MaxBackoff: p.storeFallbackInterval()}
}

// upstream returns where feeds are read now.
func (p *components) upstream() replica.Upstream {
	view, plan := p.directory.Load(), p.plan.Load()

	switch {
	case view == nil:
		return replica.Upstream{}
	case view.FullMesh(), p.isolated(), plan.IsLeader(p.self()) && !p.lagsBehind(plan):
		return replica.Upstream{Origin: true}
	case view.Forming:
		// The first instance would have to serve all others at once.
		return replica.Upstream{}
	case plan.Relay:
		return p.upstreamAt(p.chooseLeader(plan))
	case len(plan.Relays) > 0 && p.links.Reachable(p.clock.Now(), plan.Relays[0].ID):
		return p.upstreamAt(plan.Relays[0].ID)
	default:
		return replica.Upstream{}
	}
}

// directoryUpstream is upstream for the directory, without which no instance is known. Those that
// lead always read it at the store, which shows whether they reach that.
func (p *components) directoryUpstream() replica.Upstream {
	view := p.directory.Load()
	if view == nil || view.Forming && p.namedRelay.Load() || p.isLeader() {
		return replica.Upstream{Origin: true}
	}

	return p.upstream()
}

// lagsBehind reports whether the store turns this leader away while it serves others that lead: it
// then reads from these, since its subscribers have no other source.
func (p *components) lagsBehind(plan *topology.Plan) bool {
	own := p.ownConfirmedAt.Load()
	if own == 0 || p.clock.Now().Sub(p.directoryFeed.Reached()) < storeRecoveryWindow {
		return false
	}

	return p.confirmations.newest(plan.Leaders).Sub(time.Unix(0, own)) > minConfirmationLead
}

func (p *components) upstreamAt(id fleet.InstanceID) replica.Upstream {
	address, _ := p.addressOf(id)

	return replica.Upstream{Address: address}
}

// readsStore reports whether this instance reads the store by itself.
func (p *components) readsStore() bool { return p.upstream().Origin }

// isolated reports whether this instance reads the store by itself, since it has not received
// anything from another one for too long.
func (p *components) isolated() bool {
	now := p.clock.Now()
	view := p.directory.Load()
	forming := view != nil && view.Forming && now.Sub(view.at) < directoryTTL

	if forming || p.links.Connected(now) {
		p.storeFallbackAt.Store(0)

		return false
	}

	if fallbackAt := p.storeFallbackAt.Load(); fallbackAt == 0 {
		// Those that lost their relays together turn to the store apart.
		delay := storeFallbackDelay + rand.N(p.storeFallbackInterval())
		p.storeFallbackAt.CompareAndSwap(0, now.Add(delay).UnixNano())
	} else if now.UnixNano() > fallbackAt {
		return true
	}

	return false
}

// storeFallbackInterval is the pause between reads of the store by an instance without a reachable relay.
func (p *components) storeFallbackInterval() time.Duration {
	return max(time.Duration(p.instanceCount())*storeFallbackPerInstance, time.Second)
}

// chooseLeader returns the leader that a relay reads from. Of those that are reachable and have
// recently confirmed the rules, each relay prefers one by its own hash, which spreads the load.
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

// updateUpstream has feeds read elsewhere at once.
func (p *components) updateUpstream() {
	p.loadRelayLogs()

	next := p.upstream()
	if before := p.lastUpstream.Swap(&next); before == nil || *before != next {
		p.rulesFeed.Redirect()
		p.registerFeed.Redirect()
		p.directoryFeed.Wake()
	}
}

// memberPace is the pace of any feed at one of many instances: of reads from another one, or of
// the store where no relay is reachable. It returns false where an instance reads the store as one
// of few, or as one that leads.
func (p *components) memberPace() (feed.Pace, bool) {
	switch {
	case !p.readsStore():
		return feed.Pace{Wait: relayReadWait, Every: relayReadInterval}, true
	case !p.fullMesh() && !p.isLeader():
		interval := p.storeFallbackInterval()

		return feed.Pace{Every: interval, MaxBackoff: interval}, true
	default:
		return feed.Pace{}, false
	}
}
