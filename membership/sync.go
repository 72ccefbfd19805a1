package membership

import (
	"slices"
	"time"
)

const (
	// maxFastSyncRounds is the maximum number of rounds at fastSyncInterval after
	// a join, a pause of the node or a partition, while the lists differ.
	maxFastSyncRounds = 60
	// fastSyncInterval is the time between rounds that catch up.
	fastSyncInterval = 250 * time.Millisecond
	// syncBurstSeconds is the burst of the sync rate limit, in seconds of the
	// rate.
	syncBurstSeconds = 16
)

// startSyncs starts the anti-entropy rounds that are due: with a member of the
// region, between bridges, and with seeds and dead members, which may be reachable
// again.
func (c *Core) startSyncs() {
	if !c.now.Before(c.syncAt) {
		c.syncAt = c.now.Add(c.withJitter(c.intervalUntilJoined(c.config.SyncInterval)))
		c.requestSync(c.pickRandom(c.syncCandidates(), 1, ""))
	}

	if c.live.isBridge && !c.now.Before(c.bridgeSyncAt) {
		c.bridgeSyncAt = c.now.Add(c.withJitter(c.config.SyncInterval / 3))
		c.requestSync(c.pickRandom(c.live.bridges, 1, ""))
	}

	if !c.now.Before(c.seedAt) {
		c.seedAt = c.now.Add(c.withJitter(c.intervalUntilJoined(c.config.SeedInterval)))
		c.contactSeed()
	}

	if !c.now.Before(c.deadContactAt) {
		c.deadContactAt = c.now.Add(c.withJitter(c.config.SeedInterval / 3))
		c.contactDeadMember()
	}
}

// intervalUntilJoined shortens an interval to at most the probe interval until
// the node has joined.
func (c *Core) intervalUntilJoined(interval time.Duration) time.Duration {
	if c.joined {
		return interval
	}

	return min(interval, c.config.ProbeInterval)
}

// syncCandidates returns the other members of the region, or the bridges of other
// regions for a node that is alone in its region.
func (c *Core) syncCandidates() []*Member {
	if len(c.live.locals) > 0 {
		return c.live.locals
	}

	return c.live.bridges
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

// contactSeed sends a sync request to the next seed whose address belongs to no
// live member.
func (c *Core) contactSeed() {
	var unknown []string

	for _, address := range c.seeds {
		if address != c.Self.Address && !c.knowsAddress(address) {
			unknown = append(unknown, address)
		}
	}

	if len(unknown) > 0 {
		c.seedIndex++
		c.sendTo(Destination{address: unknown[c.seedIndex%len(unknown)]}, c.syncRequest())
	}
}

func (c *Core) knowsAddress(address string) bool {
	return slices.ContainsFunc(c.table.order, func(e *entry) bool {
		return e.member.identity.Address == address && e.member.Live()
	})
}

// contactDeadMember sends a sync request to the next dead member, which heals a
// partition in which both sides declared each other dead. Only bridges contact
// dead members of other regions.
func (c *Core) contactDeadMember() {
	var dead []*Member

	for _, e := range c.table.order {
		m := e.member
		near := c.live.isBridge || m.identity.Region == c.Self.Region
		if near && m.status == Dead && m.phase != Left {
			dead = append(dead, m)
		}
	}

	if len(dead) > 0 {
		c.deadIndex++
		c.send(dead[c.deadIndex%len(dead)], c.syncRequest())
	}
}

// handleSyncRequest responds with the members of the buckets whose digests
// differ, as far as the sync rate allows.
func (c *Core) handleSyncRequest(from Source, m *SyncRequest) {
	differing := c.table.differingBuckets(m.Digests)
	response := &SyncResponse{Updates: c.suspicionUpdates(from)}

	if len(response.Updates) > 0 {
		// The digests differ at least by the status that the sender is about to
		// refute, so that another round is needed.
		response.More = len(differing) > 0
	}

	room := c.syncBudget()
	start := 0

	if len(differing) > 0 {
		start = c.Random.IntN(len(differing))
	}

	for i := range differing {
		bucket := differing[(start+i)%len(differing)]

		if !c.addBucket(response, bucket, &room) {
			response.More = true

			break
		}

		response.Buckets = append(response.Buckets, bucket)
	}

	c.syncBytes.take(float64(updatesSize(response.Updates)))
	c.reply(from, response)
}

// syncBudget returns the number of bytes of updates that the next sync message
// may carry.
func (c *Core) syncBudget() int {
	rate := float64(c.config.SyncRate)
	c.syncBytes.refill(c.now, rate, syncBurstSeconds*rate)

	return min(MaxMessage, int(c.syncBytes.tokens))
}

func (c *Core) suspicionUpdates(from Source) []Update {
	updates, _ := c.suspicionUpdate(from.ID)

	return updates
}

// addBucket adds the members of a bucket to the response and reports whether all
// of them fit.
func (c *Core) addBucket(response *SyncResponse, bucket byte, room *int) bool {
	for _, e := range c.table.bucketEntries(int(bucket)) {
		u := newUpdate(e.member, partsAll)
		if u.size() > *room {
			return false
		}

		*room -= u.size()
		response.Updates = append(response.Updates, u)
	}

	return true
}

// handleSyncResponse sends the responder the updates that it lacks, and schedules
// the next round after fastSyncInterval while the lists still differ.
func (c *Core) handleSyncResponse(from Source, m *SyncResponse) {
	c.fastSyncRounds--

	switch {
	case !m.More:
		c.joined = true
		c.fastSyncRounds = 0
	case c.fastSyncRounds > 0:
		c.syncAt = c.now.Add(fastSyncInterval)
	default:
		// Under continuous changes no round finds the lists equal, so that the node
		// counts as joined after the last fast round.
		c.joined = true
		c.fastSyncRounds = 0
	}

	theirs := make(map[string]*Update, len(m.Updates))
	for i := range m.Updates {
		theirs[string(m.Updates[i].ID)] = &m.Updates[i]
	}

	var updates []Update

	room := c.syncBudget()

	for _, bucket := range m.Buckets {
		for _, e := range c.table.bucketEntries(int(bucket)) {
			u := newUpdate(e.member, partsAll)
			if !needsUpdate(theirs[string(u.ID)], &u) || u.size() > room {
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

// needsUpdate reports whether the other side lacks the update or has an older one.
// A dead or left member that it does not know isn't sent to it.
func needsUpdate(theirs, ours *Update) bool {
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
