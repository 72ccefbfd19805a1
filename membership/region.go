package membership

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// bridgeTimeoutIntervals is after how many intervals without an answer a bridge holds a
// region to be unreachable.
const bridgeTimeoutIntervals = 10

// regionState is what a node knows of its way to another region.
type regionState struct {
	region      fleet.Region
	lastRoundTrip       time.Time
	unreachable bool
}

// trackNewRegions starts to watch a region when its first member is heard of.
func (c *Core) trackNewRegions() {
	for _, m := range c.live.bridges {
		if c.region(m.identity.Region) == nil {
			c.regions = append(c.regions, &regionState{region: m.identity.Region, lastRoundTrip: c.now})
		}
	}
}

// handlePromotion gives a member that becomes a bridge, whose timeout is shorter,
// the time to make its first round trips.
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

// recordRoundTrip marks the answerer's region as reachable.
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
		// Both sides have an hour of news for each other.
		c.bridgeSyncAt = c.now
		c.fastSyncRounds = maxFastSyncRounds
	}
}

// expireRegions marks the regions as unreachable from which no answer came.
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

// recordRegionChange makes the shell publish a new view.
func (c *Core) recordRegionChange() {
	self := c.self()
	c.step.changes = append(c.step.changes, Change{before: self, after: self})
}

// probeBridge probes a bridge of another region: bridges often, others seldom.
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
