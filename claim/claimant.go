package claim

import "monsoonlever/fleet"

// claimant is one incarnation of an entry instance.
type claimant struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
}

// claimants assigns consecutive numbers to the claimants read from the log, so that the
// state of a key stores a small number instead of a claimant.
type claimants struct {
	numbers map[claimant]uint32
	removed []bool
	newest  map[fleet.InstanceID]fleet.Incarnation
}

func newClaimants() claimants {
	return claimants{
		numbers: make(map[claimant]uint32),
		newest:  make(map[fleet.InstanceID]fleet.Incarnation),
	}
}

// number returns the number of a claimant and assigns one if it has none.
func (c *claimants) number(writer claimant) uint32 {
	if n, ok := c.numbers[writer]; ok {
		return n
	}

	n := uint32(len(c.removed))
	c.numbers[writer] = n
	c.removed = append(c.removed, false)

	return n
}

// markRemoved records that a claimant is no longer live and returns its number.
func (c *claimants) markRemoved(writer claimant) uint32 {
	n := c.number(writer)
	c.removed[n] = true

	return n
}

// observe records the incarnation of a claimant. If it is newer than the newest one known
// of the same instance, observe returns the incarnation that it replaced.
func (c *claimants) observe(writer claimant) (claimant, bool) {
	before, ok := c.newest[writer.id]
	if ok && writer.incarnation <= before {
		return claimant{}, false
	}

	c.newest[writer.id] = writer.incarnation

	return claimant{id: writer.id, incarnation: before}, ok
}
