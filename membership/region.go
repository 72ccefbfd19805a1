package membership

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// bridgeTimeoutIntervals is the number of bridge intervals without a round trip
// after which a bridge marks a region unreachable.
const bridgeTimeoutIntervals = 10

// regionState is the reachability of another region from this node.
type regionState struct {
	region        fleet.Region
	lastRoundTrip time.Time
	unreachable   bool
}

// trackNewRegions adds the state of each region that has a bridge for the first
// time.
func (c *Core) trackNewRegions() {
	for _, m := range c.live.bridges {
		if c.region(m.identity.Region) == nil {
			c.regions = append(c.regions, &regionState{region: m.identity.Region, lastRoundTrip: c.now})
		}
	}
}

// handlePromotion restarts the timeouts of all regions when the node becomes a
// bridge: a bridge has a shorter timeout, and has not made its first round trips
// yet.
func (c *Core) handlePromotion(bridge bool) {
	if !bridge || c.live.isBridge {
		return
	}

	c.bridgeProbeAt = c.now

	for _, r := range c.regions {
		r.lastRoundTrip = c.now
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

// recordRoundTrip marks the region of the member that sent an ack as reachable.
func (c *Core) recordRoundTrip(from Source) {
	e := c.table.get(from.ID)
	if e == nil {
		return
	}

	r := c.region(e.member.identity.Region)
	if r == nil {
		return
	}

	r.lastRoundTrip = c.now

	if r.unreachable {
		r.unreachable = false
		c.recordRegionChange()
		// After a long partition both regions lack many updates: sync
		// immediately and repeatedly.
		c.bridgeSyncAt = c.now
		c.fastSyncRounds = maxFastSyncRounds
	}
}

// expireRegions marks the regions without a recent round trip as unreachable.
func (c *Core) expireRegions() {
	timeout := c.config.RegionTimeout
	if c.live.isBridge {
		timeout = bridgeTimeoutIntervals * c.config.BridgeInterval
	}

	for _, r := range c.regions {
		if !r.unreachable && c.now.Sub(r.lastRoundTrip) > timeout {
			r.unreachable = true
			c.recordRegionChange()
		}
	}
}

// recordRegionChange adds a change without a difference, which makes the Group
// publish a new view.
func (c *Core) recordRegionChange() {
	self := c.self()
	c.step.changes = append(c.step.changes, Change{before: self, after: self})
}

// probeBridge probes the next bridge of another region. A bridge does so every
// BridgeInterval, other members every RegionInterval.
func (c *Core) probeBridge() {
	if c.now.Before(c.bridgeProbeAt) || len(c.live.bridges) == 0 {
		return
	}

	interval := c.config.RegionInterval
	if c.live.isBridge {
		interval = c.config.BridgeInterval
	}

	c.bridgeProbeAt = c.now.Add(c.withJitter(interval))
	c.bridgeIndex++
	target := c.live.bridges[c.bridgeIndex%len(c.live.bridges)]
	c.lastProbeNumber++
	c.send(target, &Probe{Number: c.lastProbeNumber, Target: target.identity.ID, Updates: c.piggyback(target)})
}

// unreachable returns the unreachable regions in alphabetical order.
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
