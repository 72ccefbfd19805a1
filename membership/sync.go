package membership

import (
	"slices"
	"time"
)

const (
	// maxHurry is how many rounds follow each other at short intervals after a
	// join, a freeze or a split, as long as lists differ.
	maxHurry = 60
	// hurriedSync is the time between such rounds.
	hurriedSync = 250 * time.Millisecond
	// syncBurstSeconds is how much of the rate of sync may be saved up.
	syncBurstSeconds = 16
)

// syncNext opens the anti-entropy rounds that are due: with a member of the
// region, between bridges, and with seeds and dead members in the hope that
// they are back.
func (c *Core) syncNext() {
	if !c.now.Before(c.syncAt) {
		c.syncAt = c.now.Add(c.spread(c.soon(c.config.SyncInterval)))
		c.requestSync(c.pick(c.partners(), 1, ""))
	}

	if c.groups.bridge && !c.now.Before(c.crossSyncAt) {
		c.crossSyncAt = c.now.Add(c.spread(c.config.SyncInterval / 3))
		c.requestSync(c.pick(c.groups.bridges, 1, ""))
	}

	if !c.now.Before(c.seedAt) {
		c.seedAt = c.now.Add(c.spread(c.soon(c.config.SeedInterval)))
		c.trySeed()
	}

	if !c.now.Before(c.goneAt) {
		c.goneAt = c.now.Add(c.spread(c.config.SeedInterval / 3))
		c.tryGone()
	}
}

// soon shortens an interval until the node has joined.
func (c *Core) soon(interval time.Duration) time.Duration {
	if c.joined {
		return interval
	}

	return min(interval, c.config.ProbeInterval)
}

// partners are the members of the region, or the bridges of others for a node
// that is the first of its region.
func (c *Core) partners() []*Member {
	if len(c.groups.locals) > 0 {
		return c.groups.locals
	}

	return c.groups.bridges
}

func (c *Core) requestSync(members []*Member) {
	for _, m := range members {
		c.send(m, c.syncRequest())
	}
}

func (c *Core) syncRequest() *SyncRequest {
	return &SyncRequest{
		Digests: c.table.encodeDigests(),
		Updates: []Update{newUpdate(c.self(), partsAll)},
	}
}

// trySeed contacts the next seed at whose address no live member is known.
func (c *Core) trySeed() {
	var unknown []string

	for _, address := range c.seeds {
		if address != c.Self.Address && !c.knows(address) {
			unknown = append(unknown, address)
		}
	}

	if len(unknown) > 0 {
		c.seedTurn++
		c.sendTo(Destination{address: unknown[c.seedTurn%len(unknown)]}, c.syncRequest())
	}
}

func (c *Core) knows(address string) bool {
	return slices.ContainsFunc(c.table.order, func(e *entry) bool {
		return e.member.identity.Address == address && e.member.Live()
	})
}

// tryGone contacts the next dead member, which heals a partition in which both
// sides declared each other dead. Those of other regions are left to bridges.
func (c *Core) tryGone() {
	var gone []*Member

	for _, e := range c.table.order {
		m := e.member
		near := c.groups.bridge || m.identity.Region == c.Self.Region
		if near && m.status == Dead && m.phase != Left {
			gone = append(gone, m)
		}
	}

	if len(gone) > 0 {
		c.goneTurn++
		c.send(gone[c.goneTurn%len(gone)], c.syncRequest())
	}
}

// answerSync returns members of the buckets that differ.
func (c *Core) answerSync(from Source, m *SyncRequest) {
	differing := c.table.differing(m.Digests)
	response := &SyncResponse{Updates: c.accused(from)}

	if len(response.Updates) > 0 {
		// The digests differ by what the sender is about to refute.
		response.More = len(differing) > 0
	}

	room := c.syncRoom()
	start := 0

	if len(differing) > 0 {
		start = c.Random.IntN(len(differing))
	}

	for i := range differing {
		bucket := differing[(start+i)%len(differing)]

		if !c.fill(response, bucket, &room) {
			response.More = true

			break
		}

		response.Buckets = append(response.Buckets, bucket)
	}

	c.syncBytes.take(float64(updatesSize(response.Updates)))
	c.reply(from, response)
}

// syncRoom is how many bytes of members the next sync message may carry.
func (c *Core) syncRoom() int {
	rate := float64(c.config.SyncRate)
	c.syncBytes.refill(c.now, rate, syncBurstSeconds*rate)

	return min(MaxMessage, int(c.syncBytes.tokens))
}

func (c *Core) accused(from Source) []Update {
	updates, _ := c.accusation(from.ID)

	return updates
}

// fill adds the members of a bucket and reports whether all fitted.
func (c *Core) fill(response *SyncResponse, bucket byte, room *int) bool {
	for _, e := range c.table.inBucket(int(bucket)) {
		u := newUpdate(e.member, partsAll)
		if u.size() > *room {
			return false
		}

		*room -= u.size()
		response.Updates = append(response.Updates, u)
	}

	return true
}

// finishSync sends back what the other side lacks, and opens the next round at
// once when there is much to catch up with.
func (c *Core) finishSync(from Source, m *SyncResponse) {
	c.hurry--

	switch {
	case !m.More:
		c.joined = true
		c.hurry = 0
	case c.hurry > 0:
		c.syncAt = c.now.Add(hurriedSync)
	default:
		// Under steady change no round finds the lists equal.
		c.joined = true
		c.hurry = 0
	}

	theirs := make(map[string]*Update, len(m.Updates))
	for i := range m.Updates {
		theirs[string(m.Updates[i].ID)] = &m.Updates[i]
	}

	var updates []Update

	room := c.syncRoom()

	for _, bucket := range m.Buckets {
		for _, e := range c.table.inBucket(int(bucket)) {
			u := newUpdate(e.member, partsAll)
			if !lacks(theirs[string(u.ID)], &u) || u.size() > room {
				continue
			}

			room -= u.size()
			updates = append(updates, u)
		}
	}

	if len(updates) > 0 {
		c.syncBytes.take(float64(updatesSize(updates)))
		c.reply(from, &Gossip{Updates: updates})
	}
}

// lacks reports whether the other side's update is older than ours.
func lacks(theirs, ours *Update) bool {
	if theirs == nil {
		return ours.Status != Dead && ours.Phase != Left
	}

	if ours.version().newer(theirs.version()) {
		return true
	}

	if ours.Payload == nil || ours.Incarnation != theirs.Incarnation {
		return false
	}

	return theirs.Payload == nil || ours.Payload.Version > theirs.Payload.Version
}
