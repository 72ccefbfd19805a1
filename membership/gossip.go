package membership

import (
	"math"

	"monsoonlever/fleet"
)

// gossipBurstSeconds is the burst of the gossip rate limit, in seconds of the
// rate.
const gossipBurstSeconds = 4

// sendGossip sends queued updates to gossipFanout members of the region. A
// bridge also sends them to a random bridge of another region.
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

// piggyback returns queued updates for a member, within the size of a message
// and the node's gossip rate.
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

		// The receiver's region is the first to have updates about its own members.
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

// suspicionUpdate returns the update by which the receiver is suspect or dead, so
// that it can refute it immediately, and the bytes left in the message.
func (c *Core) suspicionUpdate(to fleet.InstanceID) ([]Update, int) {
	e := c.table.get(to)
	if e == nil || e.member.status == Alive {
		return nil, MaxPiggyback
	}

	u := newUpdate(e.member, 0)

	return []Update{u}, MaxPiggyback - u.size()
}
