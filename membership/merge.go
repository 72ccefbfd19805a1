package membership

import (
	"slices"
	"time"
)

// mergeAll takes over the updates of a message.
func (c *Core) mergeAll(message Message) {
	updates := message.updates()
	for i := range updates {
		if updates[i].valid() {
			c.merge(&updates[i])
		}
	}
}

// merge takes over what an update says that is newer than what is known.
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

// mergeNewMember adds a member. One that is gone is not added, or nodes that
// forget it at different times would remind each other for ever.
func (c *Core) mergeNewMember(u *Update) {
	if u.Place == nil || u.Status == Dead || u.Phase == Left {
		return
	}

	m := &Member{identity: Identity{ID: u.ID}}
	mergeState(m, u)
	mergePayload(m, u)
	c.store(m, partsAll, classJoin)
}

// mergeState takes over a newer state and returns what must be sent on.
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

// mergeSelf refutes what others wrongly think of the node.
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

// store stores a member, reports the change and sends it on.
func (c *Core) store(m *Member, p parts, of broadcastClass) {
	var before *Member
	if e := c.table.get(m.identity.ID); e != nil {
		before = e.member
	}

	e := c.table.put(m)
	c.updateTimers(e, before)
	c.step.changes = append(c.step.changes, Change{before: before, after: m})

	// A node that joins hears of members that all others know.
	if c.joined || of == classState || m.identity.ID == c.Self.ID {
		c.broadcasts.add(m.identity.ID, p, of)
	}

	if before == nil || before.version() != m.version() {
		c.liveOutdated = true
	}
}

// updateTimers starts and ends the timers of a member whose status changed.
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

// rejectOutdated reports a source that an incarnation after it has replaced, and
// tells it so.
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

// evictExpired forgets members that have been gone for long.
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
