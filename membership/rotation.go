package membership

import "monsoonlever/fleet"

// rotation goes through the region's members in a random order that is drawn
// anew each time all have had their turn. So a member waits for its turn for
// two rounds at most, which random draws would not promise.
type rotation struct {
	order []fleet.InstanceID
}

// nextInRotation returns the next live member, or nil when there is none.
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
