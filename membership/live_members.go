package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

// liveMembers are the live members other than the node, sorted by what they are
// asked for.
type liveMembers struct {
	// locals are those of the node's region.
	locals []*Member
	// bridges are the bridges of every other region.
	bridges []*Member
	// isBridge says whether the node is a isBridge of its own region.
	isBridge bool
	// count counts all live members, the node included.
	count int
}

// bridgeKey names a failure domain of a region.
type bridgeKey struct {
	region fleet.Region
	domain fleet.FailureDomain
}

// refreshLiveMembers sorts the members anew after one has come, gone or moved on.
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

// elect keeps one bridge for each failure domain: of the usable members the
// one with the lowest hash, so that every member elects the same without a
// message, and the loss of a domain takes one bridge at most.
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
