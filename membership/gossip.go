package membership

import (
	"math"

	"monsoonlever/fleet"
)

// gossipBurstSeconds is how much of the rate may be saved up for a burst of news.
const gossipBurstSeconds = 4

// sendGossip sends queued updates to a few members, and a bridge sends them
// to a bridge of each other region.
func (c *Core) sendGossip() {
	if c.now.Before(c.gossipAt) {
		return
	}

	c.gossipAt = c.now.Add(c.config.GossipInterval)

	if c.broadcasts.empty() {
		return
	}

	var targets []*Member

	for range min(gossipFanout, len(c.live.locals)) {
		targets = append(targets, c.nextInRotation(&c.gossipRotation))
	}

	if c.live.isBridge {
		targets = append(targets, c.pickRandom(c.live.bridges, 1, "")...)
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
	return c.collectUpdates(to.identity.ID, to.identity.Region)
}

func (c *Core) piggybackTo(id fleet.InstanceID) []Update {
	if e := c.table.get(id); e != nil {
		return c.piggyback(e.member)
	}

	return c.collectUpdates(id, "")
}

func (c *Core) collectUpdates(to fleet.InstanceID, region fleet.Region) []Update {
	updates, room := c.suspicionUpdate(to)
	rate := float64(c.config.GossipRate)
	c.gossipBytes.refill(c.now, rate, gossipBurstSeconds*rate)

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
		if size > room || !c.gossipBytes.take(float64(size)) {
			break
		}

		room -= size
		b.sent++
		updates = append(updates, u)
	}

	c.broadcasts.trim(int(math.Ceil(c.config.RetransmitFactor * c.logRegionSize())))

	return updates
}

// suspicionUpdate returns what the node holds against the receiver, which can
// refute it at once, and the room left in the message.
func (c *Core) suspicionUpdate(to fleet.InstanceID) ([]Update, int) {
	e := c.table.get(to)
	if e == nil || e.member.status == Alive {
		return nil, MaxPiggyback
	}

	u := newUpdate(e.member, 0)

	return []Update{u}, MaxPiggyback - u.size()
}
