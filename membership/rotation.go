package membership

import "monsoonlever/fleet"

// rotation is a round robin over the members of the node's region, reshuffled
// after each round. It bounds the wait between two selections of a member by two
// rounds; independent random selection has no such bound.
type rotation struct {
	order []fleet.InstanceID
}

// nextInRotation returns the next live member of the rotation, or nil when the
// region has no other live member.
func (c *Core) nextInRotation(t *rotation) *Member {
	for range 2 {
		for len(t.order) > 0 {
			id := t.order[0]
			t.order = t.order[1:]

			if e := c.table.get(id); e != nil && e.member.Live() {
				return e.member
			}
		}

		t.order = t.order[:0]
		for _, m := range c.live.locals {
			t.order = append(t.order, m.identity.ID)
		}

		c.Random.Shuffle(len(t.order), func(i, j int) {
			t.order[i], t.order[j] = t.order[j], t.order[i]
		})
	}

	return nil
}
