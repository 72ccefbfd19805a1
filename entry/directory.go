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
	// directoryCheckInterval is how often leaders check whether the directory is up to date.
	directoryCheckInterval = 500 * time.Millisecond
	// directoryRefreshInterval is how often an unchanged directory is written again, and
	// directoryTTL how long a directory that is not refreshed is trusted by an instance that
	// reaches none of its relays.
	directoryRefreshInterval = 5 * time.Second
	directoryTTL             = 3 * directoryRefreshInterval
	// directorySettleDelay is how long the directory must be outdated before it is written: an
	// instance that changes its relay is counted at both for a moment.
	directorySettleDelay = 3 * time.Second
	// directoryRankDelay is the additional delay per rank after which a leader writes an outdated
	// directory in place of the leaders before it.
	directoryRankDelay = 2 * time.Second
	// claimJitter bounds the random delay after which an instance with one processor core writes
	// the first directory. Smaller instances have a longer one, so that a large instance tends to
	// be first.
	claimJitter = 200 * time.Millisecond
	// formingQuietPeriod is how long no further instance must appear before the first directory
	// names relays, and maxFormingDuration bounds that wait.
	formingQuietPeriod = 700 * time.Millisecond
	maxFormingDuration = 4 * time.Second
	// directoryWriteTimeout bounds a write of the directory.
	directoryWriteTimeout = time.Second
)

// directoryView is the directory that is in force at this instance.
type directoryView struct {
	directory.Directory

	addresses map[fleet.InstanceID]netip.AddrPort
	// at is when the directory was read, and end where its log ended then. The next directory is
	// written only on condition that the log still ends there.
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

// fullMesh reports whether the directory is known and lists no relays because there are so few
// instances that each reads the store and exchanges messages with all others.
func (p *components) fullMesh() bool {
	view := p.directory.Load()

	return view != nil && view.FullMesh()
}

// instanceCount returns the number of instances, at least one. It may still count instances that
// are gone, but should miss none: each uses a share of budgets that all have in common.
func (p *components) instanceCount() int {
	view := p.directory.Load()
	if view == nil || view.FullMesh() {
		return p.members.Count()
	}

	return max(p.plan.Load().InstanceCount, view.Count, 1)
}

// usesBoard reports whether this instance writes and reads the board: each instance of a full mesh
// does, and otherwise only leaders.
func (p *components) usesBoard() bool {
	view := p.directory.Load()

	return view != nil && !view.Forming && (view.FullMesh() || p.isLeader())
}

// applyDirectory applies the newest directory.
func (p *components) applyDirectory(entries []feed.Entry, snapshot bool) {
	now := p.clock.Now()
	// The reader that calls applyDirectory is the only one that extends the log.
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
		klog.ErrorS(err, "directory could not be decoded", "offset", newest.At)

		return
	}

	p.useDirectory(newDirectoryView(d, now, end))
}

// useDirectory puts a directory in force.
func (p *components) useDirectory(view *directoryView) {
	before := p.directory.Swap(view)
	p.directoryChanged.Send()

	if view.FullMesh() {
		p.links.AssignRelays(nil)
	} else {
		p.links.AssignRelays(view.Relays)
	}

	if before == nil || before.Count != view.Count || len(before.Relays) != len(view.Relays) {
		klog.InfoS("directory in force", "instances", view.Count, "relays", len(view.Relays), "forming", view.Forming,
			"relay", view.HasRelay(p.self()), "end", view.end)
	}

	p.checkFirstFormation(view)

	if !view.Forming {
		p.countKnownAt.CompareAndSwap(nil, &view.at)
	}

	if before == nil || before.FullMesh() != view.FullMesh() || before.Forming != view.Forming {
		p.wakeFeeds()
		p.board.Wake()
	}
}

// firstDirectoryEnd is the offset at which the log of directories ends after its first record.
const firstDirectoryEnd = 1

// checkFirstFormation notices whether this instance has started while the first of all directories was
// formed. No instance uses a budget that all have in common before a directory is complete, so that
// none of it is spent then.
func (p *components) checkFirstFormation(view *directoryView) {
	switch {
	case view.Forming && view.end.Offset() == firstDirectoryEnd:
		p.inFirstFormation.Store(true)
	case !view.Forming && p.inFirstFormation.CompareAndSwap(true, false):
		// Until the first directory is complete, each instance may take itself for the only one.
		p.splitBudgets()
		p.retries.MarkUnspent()
	}
}

func (p *components) wakeFeeds() {
	p.rulesFeed.Wake()
	p.registerFeed.Wake()
	p.directoryFeed.Wake()
}

// maintainDirectory keeps the directory up to date while this instance leads, and writes the first
// one if there is none.
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

// claimDirectory writes a directory that names this instance as the only relay, unless the
// directory has changed since its log ended at end.
func (p *components) claimDirectory(ctx context.Context, before *directoryView, end feed.Position) {
	cores := max(p.settings.Limits.ProcessorCores, 0.1)
	clock.Sleep(ctx, p.clock, rand.N(time.Duration(float64(claimJitter)/cores)))

	if ctx.Err() != nil || p.directory.Load() != before {
		return
	}

	p.writeDirectory(ctx, &directory.Directory{Relays: []topology.Member{p.links.Self}, Count: 1, Forming: true}, end)
}

// directoryExpired reports whether the directory seems to be no longer maintained, as judged by an
// instance that reaches none of its relays and reads the store itself.
func (p *components) directoryExpired(view *directoryView) bool {
	now := p.clock.Now()

	return !view.FullMesh() && !p.links.Connected(now) && !view.HasRelay(p.self()) && now.Sub(view.at) > directoryTTL &&
		now.Sub(p.directoryFeed.LastRead()) < directoryRefreshInterval
}

// updateDirectory writes the directory if it has changed, or has not been written for a while. The
// first leader does so; the other leaders only if the first does not.
func (p *components) updateDirectory(ctx context.Context, view *directoryView) {
	now := p.clock.Now()
	next, changed := p.nextDirectory(now, view)

	outdated := p.outdatedFor(now, view, changed)
	rank := max(p.plan.Load().LeaderRank(p.self()), 0)
	rankDelay := time.Duration(rank) * directoryRankDelay
	due := changed && (view.Forming || outdated >= directorySettleDelay+rankDelay)
	refresh := !view.FullMesh() && now.Sub(view.at) >= directoryRefreshInterval+rankDelay

	if due || refresh {
		p.writeDirectory(ctx, next, view.end)
	}
}

// outdatedFor returns how long the directory in force has been outdated.
func (p *components) outdatedFor(now time.Time, view *directoryView, outdated bool) time.Duration {
	if !outdated {
		p.directoryOutdatedSince = time.Time{}

		return 0
	}

	if p.directoryOutdatedSince.IsZero() || p.outdatedDirectory != view.end {
		p.directoryOutdatedSince, p.outdatedDirectory = now, view.end
	}

	return now.Sub(p.directoryOutdatedSince)
}

// nextDirectory returns the directory as it should be, and whether that is a change.
func (p *components) nextDirectory(now time.Time, view *directoryView) (*directory.Directory, bool) {
	switch {
	case view.Forming:
		return p.firstDirectory(now, view)
	case view.FullMesh():
		// Without relays there are no reports: those from before count no more.
		p.directoryPlanner.Reset()

		return p.fullMeshDirectory(view)
	default:
		p.directoryPlanner.AddReport(now, p.relayReport(now))

		return p.directoryPlanner.Next(now, &view.Directory)
	}
}

// firstDirectory returns the first directory that counts all instances, once no more of them
// appear.
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

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// fullMeshDirectory returns the directory of a full mesh, in which all instances know each other.
func (p *components) fullMeshDirectory(view *directoryView) (*directory.Directory, bool) {
	members := p.members.All()
	next := &directory.Directory{Count: max(len(members), 1)}

	if next.FullMesh() {
		return &view.Directory, false
	}

	next.Relays = topology.RelaysOf(topology.Rank(members))

	return next, true
}

// writeDirectory writes the directory unless another instance has written one since the log ended
// at end.
func (p *components) writeDirectory(ctx context.Context, next *directory.Directory, end feed.Position) {
	data, err := next.Marshal()
	if err != nil {
		klog.ErrorS(err, "directory was not written")

		return
	}

	call, cancel := context.WithTimeout(ctx, directoryWriteTimeout)
	defer cancel()

	// The reader of the directory waits for changes, and gets the directory that was written, by
	// whichever instance.
	err = p.store.PutDirectory(call, data, end)
	if err != nil && !errors.Is(err, platform.ErrChanged) {
		klog.InfoS("directory was not written", "err", err.Error())
		p.directoryFeed.Wake()
	}
}
