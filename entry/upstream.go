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
	// relayedWait is how long a read from another instance waits for a change.
	relayedWait = 10 * time.Second
	// relayedPause keeps an instance that answers at once from being asked without a pause.
	relayedPause = 20 * time.Millisecond
	// unlinkedPatience is how long an instance without a reachable relay waits before it reads the
	// store by itself, and unlinkedShare what each instance adds to that time and to the pause
	// between such reads: all together make 100 of them a second, however many they are.
	unlinkedPatience = 2 * time.Second
	unlinkedShare    = 10 * time.Millisecond
	// relayDialTimeout bounds the opening of a connection to another instance.
	relayDialTimeout = 500 * time.Millisecond
	// fresher is by how much another leader's confirmation has to be newer for a relay to read
	// from it.
	fresher = time.Second
	// storeRegained is how long a leader that was behind reads at the store again after it has
	// read the directory there.
	storeRegained = 1500 * time.Millisecond
	// keptRetry is the least time between two attempts to read what others may ask for.
	keptRetry = time.Second
)

// newSource returns a source of a feed that reads from the store or from another instance.
func newSource(name string, origin feed.Source, log *replica.Log, upstreamOf func() replica.Upstream, kept func() bool) *replica.Source {
	return &replica.Source{
		Feed: name, Origin: origin, Log: log, Upstream: upstreamOf, KeepLog: kept, Dialer: upstream.Dialer(relayDialTimeout),
	}
}

// relays reports whether other instances may read from this one.
func (p *parts) relays() bool {
	plan := p.plan.Load()

	return !plan.FullMesh && plan.Relay
}

// keepForOthers has a relay read the whole of what it has not kept for others yet.
func (p *parts) keepForOthers() {
	now := p.clock.Now().UnixNano()
	if asked := p.keptAsked.Load(); !p.relays() || now-asked < int64(keptRetry) || !p.keptAsked.CompareAndSwap(asked, now) {
		return
	}

	for follower, log := range p.kept {
		if !log.Loaded() {
			follower.RequestSnapshot()
		}
	}
}

// confirmDirect calls confirm for reads of the store alone: what another instance has read
// may be older.
func confirmDirect(s *replica.Source, confirm func(asked time.Time)) func(time.Time) {
	return func(asked time.Time) {
		if !s.LastReadRelayed() {
			confirm(asked)
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
func (p *parts) directoryPace() feed.PollTiming {
	if pace, ok := p.memberPace(); ok && p.directory.Load() != nil {
		return pace
	}

	return feed.PollTiming{MaxWait: relaxedWait, Interval: rulesPause, MaxBackoff: p.unlinkedPause()}
}

// upstream returns where feeds are read now.
func (p *parts) upstream() replica.Upstream {
	view, plan := p.directory.Load(), p.plan.Load()

	switch {
	case view == nil:
		return replica.Upstream{}
	case view.FullMesh(), p.alone(), plan.IsLeader(p.self()) && !p.behind(plan):
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
func (p *parts) directoryUpstream() replica.Upstream {
	view := p.directory.Load()
	if view == nil || view.Forming && p.relaying.Load() || p.leads() {
		return replica.Upstream{Origin: true}
	}

	return p.upstream()
}

// behind reports whether the store turns this leader away while it serves others that lead: it
// then reads from these, since its subscribers have no other source.
func (p *parts) behind(plan *topology.Plan) bool {
	own := p.ownConfirmed.Load()
	if own == 0 || p.clock.Now().Sub(p.directoryFeed.LastRead()) < storeRegained {
		return false
	}

	return p.confirmations.newest(plan.Leaders).Sub(time.Unix(0, own)) > fresher
}

func (p *parts) upstreamAt(id fleet.InstanceID) replica.Upstream {
	address, _ := p.addressOf(id)

	return replica.Upstream{Address: address}
}

// direct reports whether this instance reads the store by itself.
func (p *parts) direct() bool { return p.upstream().Origin }

// alone reports whether this instance reads the store by itself, since it has not received
// anything from another one for too long.
func (p *parts) alone() bool {
	now := p.clock.Now()
	view := p.directory.Load()
	forming := view != nil && view.Forming && now.Sub(view.at) < directoryAbandoned

	if forming || p.links.Connected(now) {
		p.unlinkedSince.Store(0)

		return false
	}

	if since := p.unlinkedSince.Load(); since == 0 {
		// Those that lost their relays together turn to the store apart.
		patience := unlinkedPatience + rand.N(p.unlinkedPause())
		p.unlinkedSince.CompareAndSwap(0, now.Add(patience).UnixNano())
	} else if now.UnixNano() > since {
		return true
	}

	return false
}

// unlinkedPause is the pause between reads of the store by an instance without a reachable relay.
func (p *parts) unlinkedPause() time.Duration {
	return max(time.Duration(p.count())*unlinkedShare, time.Second)
}

// chooseLeader returns the leader that a relay reads from. Of those that are reachable and have
// recently confirmed the rules, each relay prefers one by its own hash, which spreads the load.
func (p *parts) chooseLeader(plan *topology.Plan) fleet.InstanceID {
	now := p.clock.Now()
	newest := p.confirmations.newest(plan.Leaders)

	fresh := slices.DeleteFunc(slices.Clone(plan.Leaders), func(id fleet.InstanceID) bool {
		return id == p.self() || !p.links.Reachable(now, id) || newest.Sub(p.confirmations.of(id)) > fresher
	})
	if len(fresh) == 0 {
		return ""
	}

	return slices.MaxFunc(fresh, func(a, b fleet.InstanceID) int {
		return cmp.Compare(topology.PairWeight(p.self(), a), topology.PairWeight(p.self(), b))
	})
}

// upstreamChanged has feeds read elsewhere at once.
func (p *parts) upstreamChanged() {
	p.keepForOthers()

	next := p.upstream()
	if before := p.readsFrom.Swap(&next); before == nil || *before != next {
		p.rulesFeed.SourceChanged()
		p.registerFeed.SourceChanged()
		p.directoryFeed.Wake()
	}
}

// memberPace is the pace of any feed at one of many instances: of reads from another one, or of
// the store where no relay is reachable. It returns false where an instance reads the store as one
// of few, or as one that leads.
func (p *parts) memberPace() (feed.PollTiming, bool) {
	switch {
	case !p.direct():
		return feed.PollTiming{MaxWait: relayedWait, Interval: relayedPause}, true
	case !p.few() && !p.leads():
		pause := p.unlinkedPause()

		return feed.PollTiming{Interval: pause, MaxBackoff: pause}, true
	default:
		return feed.PollTiming{}, false
	}
}
