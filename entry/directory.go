package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/platform"
	"monsoonlever/topology"
)

const (
	// directoryCheckInterval is how often those that lead look whether the directory is up to date.
	directoryCheckInterval = 500 * time.Millisecond
	// directoryRefreshInterval is how often the directory is written although it says nothing new, and
	// directoryAbandoned how long one that was not written is believed by an instance that
	// reaches none of its relays.
	directoryRefreshInterval = 5 * time.Second
	directoryTTL             = 3 * directoryRefreshInterval
	// directorySettleDelay is how long the directory has to be outdated: an instance that turns to
	// another relay counts at both for a moment.
	directorySettleDelay = 3 * time.Second
	// directoryRankDelay is how much longer each further leader waits before it writes what is
	// missing in place of those before it.
	directoryRankDelay = 2 * time.Second
	// claimJitter is the time in which an instance with a whole core names itself where
	// there is no directory; smaller instances take longer, so that a large one is first.
	claimJitter = 200 * time.Millisecond
	// formingQuietPeriod is how long no further instance has to come until the first directory
	// names relays, and formingLimit bounds that.
	formingQuietPeriod = 700 * time.Millisecond
	maxFormingDuration = 4 * time.Second
	// directoryWriteTimeout bounds a write of the directory.
	directoryWriteTimeout = time.Second
)

// directoryView is the directory that this instance goes by.
type directoryView struct {
	directory.Directory

	addresses map[fleet.InstanceID]netip.AddrPort
	// at is when it was read, and end where the records ended that were applied by then. What
	// follows it is written on condition of that end alone.
	at  time.Time
	end feed.Position
}

func newDirectoryView(d *directory.Directory, at time.Time, end feed.Position) *directoryView {
	v := &directoryView{Directory: *d, at: at, end: end, addresses: make(map[fleet.InstanceID]netip.AddrPort)}
	for _, m := range d.Relays {
		v.addresses[m.ID] = m.Address
	}

	return v
}

// fullMesh reports whether the instances are known to be so fullMesh that each reads the store and
// exchanges messages with each other.
func (p *components) fullMesh() bool {
	view := p.directory.Load()

	return view != nil && view.FullMesh()
}

// instanceCount returns how many instances there are, at least one. It rather counts instances that
// are gone than misses some: each uses a part of what all may use together.
func (p *components) instanceCount() int {
	view := p.directory.Load()
	if view == nil || view.FullMesh() {
		return p.members.Count()
	}

	return max(p.plan.Load().InstanceCount, view.Count, 1)
}

// usesBoard reports whether this instance writes and reads the board: the few that lead many do, and
// each of few.
func (p *components) usesBoard() bool {
	view := p.directory.Load()

	return view != nil && !view.Forming && (view.FullMesh() || p.isLeader())
}

// applyDirectory takes the newest directory in.
func (p *components) applyDirectory(entries []feed.Entry, snapshot bool) {
	now := p.clock.Now()
	// The reader that calls this is the only one that extends the log.
	end := p.directoryLog.End()

	if len(entries) == 0 {
		if snapshot && p.directory.Load() == nil {
			p.emptyDirectoryEnd.Store(&end)
		}

		return
	}

	newest := entries[len(entries)-1]
	p.store.ObserveEra(newest.At.Era())

	d, err := directory.Unmarshal(newest.Data)
	if err != nil {
		klog.ErrorS(err, "directory is not used", "offset", newest.At)

		return
	}

	p.useDirectory(newDirectoryView(d, now, end))
}

// useDirectory puts a directory in force.
func (p *components) useDirectory(view *directoryView) {
	before := p.directory.Swap(view)

	if view.FullMesh() {
		p.links.AssignRelays(nil)
	} else {
		p.links.AssignRelays(view.Relays)
	}

	if before == nil || before.Count != view.Count || len(before.Relays) != len(view.Relays) {
		klog.InfoS("directory in force", "instances", view.Count, "relays", len(view.Relays), "forming", view.Forming,
			"relay", view.HasRelay(p.self()), "end", view.end)
	}

	if !view.Forming {
		p.countKnownAt.CompareAndSwap(nil, &view.at)
	}

	if before == nil || before.FullMesh() != view.FullMesh() || before.Forming != view.Forming {
		p.wakeFeeds()
		p.board.Wake()
	}
}

func (p *components) wakeFeeds() {
	p.rulesFeed.Wake()
	p.registerFeed.Wake()
	p.directoryFeed.Wake()
}

// maintainDirectory keeps the directory up to date while this instance leads, and begins one where
// there is none.
func (p *components) maintainDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, directoryCheckInterval)

		view := p.directory.Load()

		switch {
		case view == nil:
			if end := p.emptyDirectoryEnd.Load(); end != nil {
				p.claimDirectory(ctx, nil, *end)
			}
		case p.directoryExpired(view):
			p.claimDirectory(ctx, view, view.end)
		case p.isLeader():
			p.updateDirectory(ctx, view)
		default:
			p.directoryPlanner.Reset()
		}
	}
}

// claimDirectory names this instance as the one that others turn to, unless the directory
// changed since its records ended at a position.
func (p *components) claimDirectory(ctx context.Context, before *directoryView, end feed.Position) {
	cores := max(p.settings.Limits.ProcessorCores, 0.1)
	clock.Sleep(ctx, p.clock, rand.N(time.Duration(float64(claimJitter)/cores)))

	if ctx.Err() != nil || p.directory.Load() != before {
		return
	}

	p.writeDirectory(ctx, &directory.Directory{Relays: []topology.Member{p.links.Self}, Count: 1, Forming: true}, end)
}

// directoryExpired reports whether nobody keeps the directory any more, as far as an instance can tell
// that reaches none of its relays and reads the store by itself.
func (p *components) directoryExpired(view *directoryView) bool {
	now := p.clock.Now()

	return !view.FullMesh() && !p.links.Connected(now) && !view.HasRelay(p.self()) && now.Sub(view.at) > directoryTTL &&
		now.Sub(p.directoryFeed.Reached()) < directoryRefreshInterval
}

// updateDirectory writes the directory where it has to say something else, or was not written
// for a while. The first of those that lead does so; the others only where it does not.
func (p *components) updateDirectory(ctx context.Context, view *directoryView) {
	now := p.clock.Now()
	next, changed := p.nextDirectory(now, view)

	if !changed {
		p.directoryOutdatedSince = time.Time{}
	} else if p.directoryOutdatedSince.IsZero() {
		p.directoryOutdatedSince = now
	}

	rank := max(p.plan.Load().LeaderRank(p.self()), 0)
	rankDelay := time.Duration(rank) * directoryRankDelay
	due := changed && (view.Forming || now.Sub(p.directoryOutdatedSince) >= directorySettleDelay+rankDelay)
	refresh := !view.FullMesh() && now.Sub(view.at) >= directoryRefreshInterval+rankDelay

	if due || refresh {
		p.writeDirectory(ctx, next, view.end)
	}
}

// nextDirectory returns the directory as it should be, and whether it says something else.
func (p *components) nextDirectory(now time.Time, view *directoryView) (*directory.Directory, bool) {
	switch {
	case view.Forming:
		return p.firstDirectory(now, view)
	case view.FullMesh():
		return p.fullMeshDirectory(view)
	default:
		p.directoryPlanner.AddReport(now, p.relayReport(now))

		return p.directoryPlanner.Next(now, &view.Directory)
	}
}

// firstDirectory returns the first directory that counts all instances, once no more come.
func (p *components) firstDirectory(now time.Time, view *directoryView) (*directory.Directory, bool) {
	sizes, subscribers := p.links.GroupSizes(now)

	if len(subscribers) != p.formingCount {
		p.formingCount, p.formingCountChangedAt = len(subscribers), now
	}

	if now.Sub(later(p.formingCountChangedAt, view.at)) < formingQuietPeriod && now.Sub(view.at) < maxFormingDuration {
		return &view.Directory, false
	}

	var planner directory.Planner

	planner.AddReport(now, directory.Report{Relay: p.links.Self, Sizes: sizes, Candidates: subscribers})

	return planner.Next(now, &directory.Directory{Relays: view.Relays, Count: 1, Forming: true})
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// fullMeshDirectory returns the directory of few instances, which know each other.
func (p *components) fullMeshDirectory(view *directoryView) (*directory.Directory, bool) {
	members := p.members.All()
	next := &directory.Directory{Count: max(len(members), 1)}

	if next.FullMesh() {
		return &view.Directory, false
	}

	next.Relays = topology.RelaysOf(topology.Rank(members))

	return next, true
}

// writeDirectory writes the directory unless another instance has written one since the records
// ended at a position.
func (p *components) writeDirectory(ctx context.Context, next *directory.Directory, end feed.Position) {
	data, err := next.Marshal()
	if err != nil {
		klog.ErrorS(err, "directory is not written")

		return
	}

	call, cancel := context.WithTimeout(ctx, directoryWriteTimeout)
	defer cancel()

	// The reader of the directory waits for changes, and gets what is in force, whoever wrote it.
	err = p.store.PutDirectory(call, data, end)
	if err != nil && !errors.Is(err, platform.ErrChanged) {
		klog.InfoS("directory is not written", "err", err.Error())
		p.directoryFeed.Wake()
	}
}
