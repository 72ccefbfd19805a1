package membership

import "monsoonlever/fleet"

// gossipNext sends queued updates to a few members, and a bridge sends them
// to a bridge of each other region.
func (c *Core) gossipNext() {
	if c.now.Before(c.gossipAt) {
		return
	}

	c.gossipAt = c.now.Add(c.config.GossipInterval)

	var targets []*Member

	for range min(gossipFanout, len(c.groups.locals)) {
		targets = append(targets, c.nextTurn(&c.gossipTurns))
	}

	if c.groups.bridge {
		targets = append(targets, c.pick(c.groups.bridges, 1, "")...)
	}

	for _, m := range targets {
		if updates := c.piggyback(m); len(updates) > 0 {
			c.send(m, &Gossip{Updates: updates})
		}
	}
}

// piggyback returns queued updates for a member, within the bounds of a
// message and of the node's rate.
func (c *Core) piggyback(to *Member) []Update {
	return c.collect(to.identity.ID, to.identity.Region)
}

func (c *Core) piggybackTo(id fleet.InstanceID) []Update {
	if e := c.table.get(id); e != nil {
		return c.piggyback(e.member)
	}

	return c.collect(id, "")
}

func (c *Core) collect(to fleet.InstanceID, _ fleet.Region) []Update {
	updates, _ := c.accusation(to)
	for _, e := range c.table.order {
		updates = append(updates, newUpdate(e.member, partsAll))
	}

	return updates
}

// accusation returns what the node holds against the receiver, which can
// refute it at once, and the room left in the message.
func (c *Core) accusation(to fleet.InstanceID) ([]Update, int) {
	e := c.table.get(to)
	if e == nil || e.member.status == Alive {
		return nil, MaxPiggyback
	}

	u := newUpdate(e.member, 0)

	return []Update{u}, MaxPiggyback - u.size()
}
