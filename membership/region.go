package membership

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// bridgeMisses is after how many intervals without an answer a bridge holds a
// region to be unreachable.
const bridgeMisses = 10

// regionState is what a node knows of its way to another region.
type regionState struct {
	region      fleet.Region
	heard       time.Time
	unreachable bool
}

// noteRegions starts to watch a region when its first member is heard of.
func (c *Core) noteRegions() {
	for _, m := range c.groups.bridges {
		if c.region(m.identity.Region) == nil {
			c.regions = append(c.regions, &regionState{region: m.identity.Region, heard: c.now})
		}
	}
}

// notePromotion gives a member that becomes a bridge, whose timeout is shorter,
// the time to make its first round trips.
func (c *Core) notePromotion(bridge bool) {
	if !bridge || c.groups.bridge {
		return
	}

	c.bridgeAt = c.now

	for _, r := range c.regions {
		r.heard = c.now
	}
}

func (c *Core) region(region fleet.Region) *regionState {
	for _, r := range c.regions {
		if r.region == region {
			return r
		}
	}

	return nil
}

// noteRoundTrip marks the answerer's region as reachable.
func (c *Core) noteRoundTrip(from Source) {
	e := c.table.get(from.ID)
	if e == nil {
		return
	}

	r := c.region(e.member.identity.Region)
	if r == nil {
		return
	}

	r.heard = c.now

	if r.unreachable {
		r.unreachable = false
		c.noteRegionChange()
		// Both sides have an hour of news for each other.
		c.crossSyncAt = c.now
		c.hurry = maxHurry
	}
}

// expireRegions marks the regions as unreachable from which no answer came.
func (c *Core) expireRegions() {
	timeout := c.config.RegionTimeout
	if c.groups.bridge {
		timeout = bridgeMisses * c.config.BridgeInterval
	}

	for _, r := range c.regions {
		if !r.unreachable && c.now.Sub(r.heard) > timeout {
			r.unreachable = true
			c.noteRegionChange()
		}
	}
}

// noteRegionChange makes the shell publish a new view.
func (c *Core) noteRegionChange() {
	self := c.self()
	c.step.changes = append(c.step.changes, Change{before: self, after: self})
}

// bridgeNext probes a bridge of another region: bridges often, others seldom.
func (c *Core) bridgeNext() {
	if c.now.Before(c.bridgeAt) || len(c.groups.bridges) == 0 {
		return
	}

	interval := c.config.RegionInterval
	if c.groups.bridge {
		interval = c.config.BridgeInterval
	}

	c.bridgeAt = c.now.Add(c.spread(interval))
	c.bridgeTurn++
	target := c.groups.bridges[c.bridgeTurn%len(c.groups.bridges)]
	c.number++
	c.send(target, &Probe{Number: c.number, Target: target.identity.ID, Updates: c.piggyback(target)})
}

// unreachable returns the regions without a way to them, in order.
func (c *Core) unreachable() []fleet.Region {
	var regions []fleet.Region

	for _, r := range c.regions {
		if r.unreachable {
			regions = append(regions, r.region)
		}
	}

	slices.Sort(regions)

	return regions
}
