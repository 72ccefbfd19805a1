package claim

import "monsoonlever/fleet"

// claimant is one incarnation of an entry instance.
type claimant struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
}

// claimants numbers the claimants seen, so that a key holds a small number.
type claimants struct {
	numbers map[claimant]uint32
	gone    []bool
	newest  map[fleet.InstanceID]fleet.Incarnation
}

func newClaimants() claimants {
	return claimants{
		numbers: make(map[claimant]uint32),
		newest:  make(map[fleet.InstanceID]fleet.Incarnation),
	}
}

// number returns the number of a claimant.
func (c *claimants) number(who claimant) uint32 {
	if n, ok := c.numbers[who]; ok {
		return n
	}

	n := uint32(len(c.gone))
	c.numbers[who] = n
	c.gone = append(c.gone, false)

	return n
}

// leave marks a claimant as gone.
func (c *claimants) leave(who claimant) uint32 {
	n := c.number(who)
	c.gone[n] = true

	return n
}

// succeed notes an incarnation and returns the one that it has replaced.
func (c *claimants) succeed(who claimant) (claimant, bool) {
	before, ok := c.newest[who.id]
	if ok && who.incarnation <= before {
		return claimant{}, false
	}

	c.newest[who.id] = who.incarnation

	return claimant{id: who.id, incarnation: before}, ok
}
