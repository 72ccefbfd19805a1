package membership

import (
	"math"

	"monsoonlever/fleet"
)

// burstSeconds is how much of the rate may be saved up for a burst of news.
const burstSeconds = 4

// gossipNext sends queued updates to a few members, and a bridge sends them
// to a bridge of each other region.
func (c *Core) gossipNext() {
	if c.now.Before(c.gossipAt) {
		return
	}

	c.gossipAt = c.now.Add(c.config.GossipInterval)

	if c.broadcasts.empty() {
		return
	}

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

func (c *Core) collect(to fleet.InstanceID, region fleet.Region) []Update {
	updates, room := c.accusation(to)
	rate := float64(c.config.GossipRate)
	c.bytes.refill(c.now, rate, burstSeconds*rate)

	if c.broadcasts.empty() {
		return updates
	}

	c.broadcasts.sort()
	for _, b := range c.broadcasts.queue {
		e := c.table.get(b.id)
		if e == nil {
			b.sent = math.MaxInt

			continue
		}

		// A region knows its own members first.
		foreign := region != c.Self.Region && e.member.identity.Region == region
		if b.id == to || foreign {
			continue
		}

		u := newUpdate(e.member, b.parts)

		size := u.size()
		if size > room || !c.bytes.take(float64(size)) {
			break
		}

		room -= size
		b.sent++
		updates = append(updates, u)
	}

	c.broadcasts.trim(int(math.Ceil(c.config.RetransmitFactor * c.logSize())))

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
