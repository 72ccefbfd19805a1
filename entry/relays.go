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
	// reportInterval is the pace at which relays report to those that lead.
	reportInterval = time.Second
	// maxCandidates bounds the candidates of a report to what a datagram holds.
	maxCandidates = 8
	// redirectThreshold is the number of instances that turned to one relay above which it names
	// others to them, and redirectBytes bounds what a redirect holds.
	redirectThreshold = 64
	maxRedirectBytes  = 1100
	memberBytes       = 24
)

// relayReport is what this relay says of the instances that turned to it.
func (p *components) relayReport(now time.Time) directory.Report {
	sizes, subscribers := p.links.GroupSizes(now)
	ranked := topology.Rank(subscribers)

	return directory.Report{Relay: p.links.Self, Sizes: sizes, Candidates: ranked[:min(maxCandidates, len(ranked))]}
}

// reportMessage is a directory.Report in a datagram.
type reportMessage struct {
	Relay      directory.Member            `msgpack:"i"`
	Sizes      map[fleet.FailureDomain]int `msgpack:"s"`
	Candidates []directory.Member          `msgpack:"c"`
}

// reportToLeaders has a relay report to those that lead until ctx ends.
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

// receiveReport takes a relay's report in.
func (p *components) receiveReport(now time.Time, m *reportMessage) {
	p.directoryPlanner.AddReport(now, directory.Report{
		Relay: m.Relay.Member(), Sizes: m.Sizes, Candidates: directory.TopologyMembers(m.Candidates),
	})
}

// redirect names relays to an instance that turned to one which should not relay for it.
type redirect struct {
	// Count is how many instances there are, and Relays are the relays that the receiver would
	// turn to first, where there are many.
	Count  int                `msgpack:"c"`
	Relays []directory.Member `msgpack:"r"`
}

// sendRedirect answers a heartbeat of an instance that knows no relays yet, or has turned to
// this one with far too many others, as all do with the first one when all start.
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

	if parts := packWithin(directory.MembersOf(preferred), maxRedirectBytes, memberSize); len(parts) > 0 {
		m.Relays = parts[0]
	}

	p.sendAll(map[fleet.InstanceID]netip.AddrPort{h.Instance: from}, datagram{Redirect: &m})
}

func memberSize(m directory.Member) int {
	return memberBytes + len(m.ID) + len(m.Domain) + len(m.Address)
}

// receiveRedirect has this instance go by relays that another one named, until it has the
// directory that names them. One that is a relay itself reads that at once.
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
