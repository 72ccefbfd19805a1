package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// liveMembers holds the live members of the table by their role in probes,
// gossip and sync.
type liveMembers struct {
	// locals are the other live members of the node's region.
	locals []*Member
	// bridges are the elected bridges of all other regions.
	bridges []*Member
	// isBridge reports whether the node is an elected bridge of its own region.
	isBridge bool
	// count is the number of live members, including the node.
	count int
}

// bridgeKey identifies a failure domain of a region, which has one bridge.
type bridgeKey struct {
	region fleet.Region
	domain fleet.FailureDomain
}

// refreshLiveMembers rebuilds the live members when a member was added or its
// phase or status changed.
func (c *Core) refreshLiveMembers() {
	if !c.liveOutdated {
		return
	}

	c.liveOutdated = false
	g := liveMembers{}
	elected := make(map[bridgeKey]*Member)

	for _, e := range c.table.order {
		m := e.member
		if !m.Live() {
			continue
		}

		g.count++

		if m.identity.Region == c.Self.Region && m.identity.ID != c.Self.ID {
			g.locals = append(g.locals, m)
		}

		elect(elected, m)
	}

	for _, m := range elected {
		switch {
		case m.identity.ID == c.Self.ID:
			g.isBridge = true
		case m.identity.Region != c.Self.Region:
			g.bridges = append(g.bridges, m)
		}
	}

	slices.SortFunc(g.bridges, compareRank)
	c.handlePromotion(g.isBridge)
	c.live = g
	c.trackNewRegions()
}

// elect elects one bridge for each failure domain, so that the loss of a domain
// removes at most one bridge. It prefers usable members and then the lowest hash
// of the ID: all members elect the same bridges without exchanging messages.
func elect(elected map[bridgeKey]*Member, m *Member) {
	key := bridgeKey{region: m.identity.Region, domain: m.identity.Domain}

	old, ok := elected[key]
	if !ok || (m.Usable() && !old.Usable()) || (m.Usable() == old.Usable() && compareRank(m, old) < 0) {
		elected[key] = m
	}
}

func compareRank(a, b *Member) int {
	x, y := xxhash.Sum64String(string(a.identity.ID)), xxhash.Sum64String(string(b.identity.ID))
	if x < y {
		return -1
	}

	if x > y {
		return 1
	}

	return 0
}
