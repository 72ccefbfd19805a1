package membership

import (
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// probe is the probe under way.
type probe struct {
	number     uint32
	target     fleet.InstanceID
	indirectAt time.Time
	deadline   time.Time
	indirect   bool
}

// relay is a probe made for another member.
type relay struct {
	number   uint32
	origin   Source
	asked    uint32
	deadline time.Time
}

// noteFreeze forgives others for the time in which the node itself stood.
func (c *Core) noteFreeze() {
	gap := c.now.Sub(c.lastTick)
	if c.lastTick.IsZero() || gap < freezeGap {
		return
	}

	c.lastTick = c.now
	c.probe = nil
	c.health = maxHealth

	for _, id := range c.suspects {
		e := c.table.get(id)
		e.deadline = c.now.Add(c.suspicion())
	}

	for _, r := range c.regions {
		r.heard = r.heard.Add(gap)
	}

	// What the others have agreed on meanwhile comes by the next round.
	c.syncAt = c.now
	c.hurry = maxHurry
}

func (c *Core) worsenHealth(by int) {
	c.health = min(maxHealth, c.health+by)
}

// slowed stretches a timeout while the node has reason to doubt itself.
func (c *Core) slowed(d time.Duration) time.Duration {
	return d * time.Duration(1+c.health)
}

// suspicion is how long a suspect may refute.
func (c *Core) suspicion() time.Duration {
	scale := max(1, math.Log10(float64(len(c.groups.locals)+1)))
	base := time.Duration(float64(c.config.ProbeInterval) * float64(c.config.SuspicionFactor) * scale)

	return c.slowed(base)
}

// probeNext probes the next member of the region.
func (c *Core) probeNext() {
	if c.probe != nil || c.now.Before(c.probeAt) {
		return
	}

	target := c.nextTurn(&c.probeTurns)
	if target == nil {
		return
	}

	c.probeAt = c.now.Add(c.config.ProbeInterval)
	c.number++
	c.probe = &probe{
		number:     c.number,
		target:     target.identity.ID,
		indirectAt: c.now.Add(c.slowed(c.config.AckTimeout)),
		deadline:   c.now.Add(c.slowed(c.config.ProbeInterval)),
	}
	c.send(target, &Probe{Number: c.number, Target: target.identity.ID, Updates: c.piggyback(target)})
}

// expireProbe asks others when the target is silent, and suspects it when
// they get no answer either.
func (c *Core) expireProbe() {
	p := c.probe
	if p == nil {
		return
	}

	e := c.table.get(p.target)
	if e == nil || !e.member.Live() {
		c.probe = nil

		return
	}

	if !c.now.Before(p.deadline) {
		c.probe = nil
		c.worsenHealth(1)
		c.suspect(e.member)

		return
	}

	if !p.indirect && !c.now.Before(p.indirectAt) {
		p.indirect = true

		for _, m := range c.helpers(p.target) {
			c.send(m, &IndirectProbe{Number: p.number, Target: p.target, Updates: c.piggyback(m)})
		}
	}
}

// helpers picks who probes a silent member: of the region, and of others where
// the region is too small to go round a cut.
func (c *Core) helpers(target fleet.InstanceID) []*Member {
	helpers := c.pick(c.groups.locals, c.config.IndirectProbes, target)
	if len(c.groups.locals) <= c.config.IndirectProbes {
		helpers = append(helpers, c.pick(c.groups.bridges, c.config.IndirectProbes, target)...)
	}

	return helpers
}

func (c *Core) suspect(m *Member) {
	if m.status != Alive {
		return
	}

	changed := *m
	changed.status = Suspect
	c.replace(&changed, 0, classState)
}

// expireSuspicions declares the suspects dead that have not refuted in time.
func (c *Core) expireSuspicions() {
	for _, id := range slices.Clone(c.suspects) {
		e := c.table.get(id)
		if c.now.Before(e.deadline) {
			continue
		}

		changed := *e.member
		changed.status = Dead
		c.replace(&changed, 0, classState)
	}
}

func (c *Core) answerProbe(from Source, m *Probe) {
	if m.Target != c.Self.ID {
		return
	}

	c.reply(from, &Ack{Number: m.Number, Updates: c.piggybackTo(from.ID)})
}

// relayProbe probes the target for another member.
func (c *Core) relayProbe(from Source, m *IndirectProbe) {
	e := c.table.get(m.Target)
	if e == nil || len(c.relays) >= maxRelays {
		return
	}

	c.number++
	c.relays = append(c.relays, relay{
		number:   c.number,
		origin:   from,
		asked:    m.Number,
		deadline: c.now.Add((1 + maxHealth) * c.config.ProbeInterval),
	})
	c.send(e.member, &Probe{Number: c.number, Target: m.Target, Updates: c.piggyback(e.member)})
}

// noteAck ends the probe or relay that the answer belongs to.
func (c *Core) noteAck(from Source, m *Ack) {
	c.noteRoundTrip(from)

	if c.probe != nil && c.probe.number == m.Number {
		c.probe = nil
		c.health = max(0, c.health-1)

		return
	}

	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if r.number == m.Number {
			c.reply(r.origin, &Ack{Number: r.asked})
		}

		return r.number == m.Number || c.now.After(r.deadline)
	})
}

func isID(id fleet.InstanceID) func(fleet.InstanceID) bool {
	return func(other fleet.InstanceID) bool { return other == id }
}
