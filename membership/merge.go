package membership

import (
	"slices"
	"time"
)

// mergeAll merges all valid updates of a message into the table.
func (c *Core) mergeAll(message Message) {
	updates := message.updates()
	for i := range updates {
		if updates[i].valid() {
			c.merge(&updates[i])
		}
	}
}

// merge applies the parts of an update that are newer than the table's.
func (c *Core) merge(u *Update) {
	if u.ID == c.Self.ID {
		c.mergeSelf(u)

		return
	}

	e := c.table.get(u.ID)
	if e == nil {
		c.mergeNewMember(u)

		return
	}

	old := e.member
	if u.Incarnation > old.identity.Incarnation && u.Place == nil {
		return
	}

	changed := *old
	p := mergeState(&changed, u) | mergePayload(&changed, u)

	if changed != *old {
		c.store(&changed, p, classifyChange(old, &changed))
	}
}

func classifyChange(before, after *Member) broadcastClass {
	switch {
	case after.identity.Incarnation != before.identity.Incarnation:
		return classJoin
	case after.version() != before.version(), after.urgent:
		return classState
	default:
		return classPayload
	}
}

// mergeNewMember adds an unknown member. It ignores dead and left members:
// nodes evict them at different times, and would otherwise reintroduce them to
// each other forever.
func (c *Core) mergeNewMember(u *Update) {
	if u.Place == nil || u.Status == Dead || u.Phase == Left {
		return
	}

	m := &Member{identity: Identity{ID: u.ID}}
	mergeState(m, u)
	mergePayload(m, u)
	c.store(m, partsAll, classJoin)
}

// mergeState applies a newer state to m and returns the parts that must be
// rebroadcast with it.
func mergeState(m *Member, u *Update) parts {
	fresh := u.Place != nil && (u.Incarnation > m.identity.Incarnation || m.identity.Address == "")
	if !fresh && !u.version().newer(m.version()) {
		return 0
	}

	m.revision = u.Revision
	m.phase = u.Phase
	m.status = u.Status

	if !fresh {
		return 0
	}

	m.identity.Incarnation = u.Incarnation
	m.identity.Region = u.Place.Region
	m.identity.Domain = u.Place.Domain
	m.identity.Address = u.Place.Address
	m.payloadVersion = 0
	m.payload = ""
	m.urgent = false

	return partsAll
}

func mergePayload(m *Member, u *Update) parts {
	if u.Payload == nil || u.Incarnation != m.identity.Incarnation || u.Payload.Version <= m.payloadVersion {
		return 0
	}

	m.payloadVersion = u.Payload.Version
	m.payload = u.Payload.Data
	m.urgent = u.Payload.Urgent

	return partPayload
}

// mergeSelf handles an update about the node itself. It refutes a suspicion or
// a death by raising the revision, and stops the core when a later incarnation of
// the instance exists.
func (c *Core) mergeSelf(u *Update) {
	self := c.self()

	if u.Incarnation > c.Self.Incarnation {
		c.superseded = u.Incarnation
		c.stopped = true

		return
	}

	if u.Incarnation < c.Self.Incarnation || u.Status == Alive || u.Revision < self.revision {
		return
	}

	changed := *self
	changed.revision = u.Revision + 1
	c.raiseHealthPenalty(1)
	c.store(&changed, 0, classState)
}

// store writes a member to the table, reports the change and queues it for
// broadcast.
func (c *Core) store(m *Member, p parts, of broadcastClass) {
	var before *Member
	if e := c.table.get(m.identity.ID); e != nil {
		before = e.member
	}

	e := c.table.put(m)
	c.updateTimers(e, before)
	c.step.changes = append(c.step.changes, Change{before: before, after: m})

	// While the node joins, the other members already know the members that it
	// learns of, so that it rebroadcasts only state changes and its own updates.
	if c.joined || of == classState || m.identity.ID == c.Self.ID {
		c.broadcasts.add(m.identity.ID, p, of)
	}

	if before == nil || before.version() != m.version() {
		c.liveOutdated = true
	}
}

// updateTimers sets the retention time of a member that died or left, and starts,
// restarts or clears the suspicion deadline.
func (c *Core) updateTimers(e *entry, before *Member) {
	m := e.member
	if m.Live() {
		e.endedAt = time.Time{}
	} else if before == nil || before.Live() {
		e.endedAt = c.now
	}

	suspect := m.status == Suspect && m.Live() && m.identity.Region == c.Self.Region
	watched := !e.deadline.IsZero()

	switch {
	case suspect && !watched:
		e.deadline = c.now.Add(c.suspicionTimeout())
		c.suspects = append(c.suspects, m.identity.ID)
	case suspect && before.version() != m.version():
		e.deadline = c.now.Add(c.suspicionTimeout())
	case !suspect && watched:
		e.deadline = time.Time{}
		c.suspects = slices.DeleteFunc(c.suspects, isID(m.identity.ID))
	}
}

// rejectOutdated reports whether a later incarnation of the source is known, and
// sends that incarnation to the source.
func (c *Core) rejectOutdated(from Source) bool {
	e := c.table.get(from.ID)
	if e == nil {
		return false
	}

	if from.Incarnation < e.member.identity.Incarnation {
		c.reply(from, &Gossip{Updates: []Update{newUpdate(e.member, partPlace)}})

		return true
	}

	return false
}

// evictExpired removes the dead and left members whose retention has expired.
func (c *Core) evictExpired() {
	if c.now.Before(c.evictAt) {
		return
	}

	c.evictAt = c.now.Add(time.Minute)

	for _, e := range slices.Clone(c.table.order) {
		if !e.endedAt.IsZero() && c.now.Sub(e.endedAt) > c.config.Retention {
			c.table.remove(e.member.identity.ID)
			c.step.changes = append(c.step.changes, Change{before: e.member})
		}
	}
}
