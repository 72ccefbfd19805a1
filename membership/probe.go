package membership

import (
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// probe is the node's outstanding direct probe.
type probe struct {
	number     uint32
	target     fleet.InstanceID
	indirectAt time.Time
	deadline   time.Time
	indirect   bool
}

// relayedProbe is a probe sent at the request of another member.
type relayedProbe struct {
	number       uint32
	origin       Source
	originNumber uint32
	deadline     time.Time
}

// handlePause detects that the node itself was paused, during which it received
// no messages. It abandons the current probe, restarts the suspicion deadlines,
// extends the region timeouts by the pause and starts a sync round.
func (c *Core) handlePause() {
	gap := c.now.Sub(c.lastTick)
	if c.lastTick.IsZero() || gap < pauseThreshold {
		return
	}

	c.lastTick = c.now
	c.probe = nil
	c.healthPenalty = maxHealthPenalty

	for _, id := range c.suspects {
		e := c.table.get(id)
		e.deadline = c.now.Add(c.suspicionTimeout())
	}

	for _, r := range c.regions {
		r.lastRoundTrip = r.lastRoundTrip.Add(gap)
	}

	// A sync round fetches the updates missed during the pause.
	c.syncAt = c.now
	c.fastSyncRounds = maxFastSyncRounds
}

func (c *Core) raiseHealthPenalty(by int) {
	c.healthPenalty = min(maxHealthPenalty, c.healthPenalty+by)
}

// scaleTimeout multiplies a timeout by one plus the health penalty. Failed probes,
// a suspicion of the node itself and a pause raise the penalty, since they make it
// likely that the node rather than other members is slow.
func (c *Core) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+c.healthPenalty)
}

// suspicionTimeout is the time within which a suspect must refute the suspicion.
func (c *Core) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(c.live.locals)+1)))
	base := time.Duration(float64(c.config.ProbeInterval) * float64(c.config.SuspicionFactor) * scale)

	return c.scaleTimeout(base)
}

// startProbe probes the next member of the region's rotation.
func (c *Core) startProbe() {
	if c.probe != nil || c.now.Before(c.probeAt) {
		return
	}

	target := c.nextInRotation(&c.probeRotation)
	if target == nil {
		return
	}

	c.probeAt = c.now.Add(c.config.ProbeInterval)
	c.lastProbeNumber++
	c.probe = &probe{
		number:     c.lastProbeNumber,
		target:     target.identity.ID,
		indirectAt: c.now.Add(c.scaleTimeout(c.config.AckTimeout)),
		deadline:   c.now.Add(c.scaleTimeout(c.config.ProbeInterval)),
	}
	c.send(target, &Probe{Number: c.lastProbeNumber, Target: target.identity.ID, Updates: c.piggyback(target)})
}

// expireProbe requests indirect probes when the target has not sent an ack in
// time, and suspects the target when no ack arrives before the deadline.
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
		c.raiseHealthPenalty(1)
		c.suspect(e.member)

		return
	}

	if !p.indirect && !c.now.Before(p.indirectAt) {
		p.indirect = true

		for _, m := range c.pickIndirectProbers(p.target) {
			c.send(m, &IndirectProbe{Number: p.number, Target: p.target, Updates: c.piggyback(m)})
		}
	}
}

// pickIndirectProbers selects the members that probe a target indirectly. A
// region with too few members to route around a broken link also uses bridges of
// other regions.
func (c *Core) pickIndirectProbers(target fleet.InstanceID) []*Member {
	probers := c.pickRandom(c.live.locals, c.config.IndirectProbes, target)
	if len(c.live.locals) <= c.config.IndirectProbes {
		probers = append(probers, c.pickRandom(c.live.bridges, c.config.IndirectProbes, target)...)
	}

	return probers
}

func (c *Core) suspect(m *Member) {
	if m.status != Alive {
		return
	}

	changed := *m
	changed.status = Suspect
	c.store(&changed, 0, classState)
}

// expireSuspicions declares the suspects dead whose deadline has passed.
func (c *Core) expireSuspicions() {
	for _, id := range slices.Clone(c.suspects) {
		e := c.table.get(id)
		if c.now.Before(e.deadline) {
			continue
		}

		changed := *e.member
		changed.status = Dead
		c.store(&changed, 0, classState)
	}
}

func (c *Core) answerProbe(from Source, m *Probe) {
	if m.Target != c.Self.ID {
		return
	}

	c.reply(from, &Ack{Number: m.Number, Updates: c.piggybackTo(from.ID)})
}

// relayProbe probes the target for another member; handleAck forwards the ack.
func (c *Core) relayProbe(from Source, m *IndirectProbe) {
	e := c.table.get(m.Target)
	if e == nil || len(c.relayedProbes) >= maxRelayedProbes {
		return
	}

	c.lastProbeNumber++
	c.relayedProbes = append(c.relayedProbes, relayedProbe{
		number:       c.lastProbeNumber,
		origin:       from,
		originNumber: m.Number,
		deadline:     c.now.Add((1 + maxHealthPenalty) * c.config.ProbeInterval),
	})
	c.send(e.member, &Probe{Number: c.lastProbeNumber, Target: m.Target, Updates: c.piggyback(e.member)})
}

// handleAck completes the direct or relayed probe that the ack belongs to.
func (c *Core) handleAck(from Source, m *Ack) {
	c.recordRoundTrip(from)

	if c.probe != nil && c.probe.number == m.Number {
		c.probe = nil
		c.healthPenalty = max(0, c.healthPenalty-1)

		return
	}

	c.relayedProbes = slices.DeleteFunc(c.relayedProbes, func(r relayedProbe) bool {
		if r.number == m.Number {
			c.reply(r.origin, &Ack{Number: r.originNumber})
		}

		return r.number == m.Number || c.now.After(r.deadline)
	})
}

func isID(id fleet.InstanceID) func(fleet.InstanceID) bool {
	return func(other fleet.InstanceID) bool { return other == id }
}
