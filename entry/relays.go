package entry

import (
	"context"
	"net/netip"
	"time"

	"monsoonlever/clock"
	"monsoonlever/directory"
	"monsoonlever/fleet"
	"monsoonlever/topology"
)

const (
	// reportInterval is the time between two reports of a relay to the leaders.
	reportInterval = time.Second
	// maxCandidates bounds the candidates in a report so that it fits into a datagram.
	maxCandidates = 8
	// redirectThreshold is the number of subscribers above which a relay redirects instances to
	// other relays, and maxRedirectBytes bounds the relays in a redirect.
	redirectThreshold = 64
	maxRedirectBytes  = 1100
	memberBytes       = 24
)

// relayReport returns this relay's report on its subscribers.
func (p *components) relayReport(now time.Time) directory.Report {
	sizes, subscribers := p.links.GroupSizes(now)
	ranked := topology.Rank(subscribers)

	return directory.Report{Relay: p.links.Self, Sizes: sizes, Candidates: ranked[:min(maxCandidates, len(ranked))]}
}

// reportMessage is a directory.Report as it is encoded.
type reportMessage struct {
	Relay      directory.Member            `msgpack:"i"`
	Sizes      map[fleet.FailureDomain]int `msgpack:"s"`
	Candidates []directory.Member          `msgpack:"c"`
}

// reportToLeaders sends this relay's reports to the leaders until ctx ends.
func (p *components) reportToLeaders(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, p.clock, reportInterval)

		plan := p.plan.Load()
		if plan.FullMesh || !plan.Relay || p.stopping.Load() {
			continue
		}

		r := p.relayReport(p.clock.Now())
		m := reportMessage{
			Relay: directory.MemberOf(r.Relay), Sizes: r.Sizes, Candidates: directory.MembersOf(r.Candidates),
		}
		p.sendAll(p.leaderAddresses(plan), datagram{Report: &m})
	}
}

// receiveReport records a relay's report.
func (p *components) receiveReport(now time.Time, m *reportMessage) {
	p.directoryPlanner.AddReport(now, directory.Report{
		Relay: m.Relay.Member(), Sizes: m.Sizes, Candidates: directory.TopologyMembers(m.Candidates),
	})
}

// redirect names relays to an instance that subscribed to one which should not relay for it.
type redirect struct {
	// Count is the number of instances, and Relays are the relays that the receiver would prefer;
	// it is empty in a full mesh.
	Count  int                `msgpack:"c"`
	Relays []directory.Member `msgpack:"r"`
}

// sendRedirect responds to a heartbeat of an instance that knows no relays yet, or that subscribes
// to this relay while it has far too many subscribers, as the first instance has when all start.
func (p *components) sendRedirect(from netip.AddrPort, h heartbeat) {
	view := p.directory.Load()
	if view == nil || view.Forming {
		return
	}

	overloaded := h.Relation == topology.ToRelay && len(p.plan.Load().Subscribers) > redirectThreshold
	if !h.Forming && !overloaded {
		return
	}

	m := redirect{Count: view.Count}
	preferred := topology.PreferredRelays(topology.Member{ID: h.Instance, Domain: h.Domain}, view.Relays)

	if batches := packWithin(directory.MembersOf(preferred), maxRedirectBytes, memberSize); len(batches) > 0 {
		m.Relays = batches[0]
	}

	p.sendAll(map[fleet.InstanceID]netip.AddrPort{h.Instance: from}, datagram{Redirect: &m})
}

func memberSize(m directory.Member) int {
	return memberBytes + len(m.ID) + len(m.Domain) + len(m.Address)
}

// receiveRedirect uses the relays of a redirect until this instance has read the directory that
// names them. An instance that is a relay itself reads the directory immediately.
func (p *components) receiveRedirect(now time.Time, m *redirect) {
	view := p.directory.Load()
	if view == nil || !view.Forming {
		return
	}

	next := &directory.Directory{Count: m.Count, Relays: directory.TopologyMembers(m.Relays)}
	if next.HasRelay(p.self()) {
		p.namedRelay.Store(true)
		p.directoryFeed.Wake()

		return
	}

	if next.FullMesh() || len(next.Relays) > 0 {
		p.useDirectory(newDirectoryView(next, now, view.end))
	}
}
