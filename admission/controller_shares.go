package admission

import (
	"time"

	"monsoonlever/fleet"
)

// AddMember adds another entry instance to the members. It may be called before or after
// ApplyDemand received the instance's first digest.
func (c *Controller) AddMember(now time.Time, id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if id != c.Instance {
		c.shares.addMember(now, id)
	}
}

// RemoveMember removes an entry instance that stopped admitting requests: it announced so itself,
// or the platform's list says that it terminated.
func (c *Controller) RemoveMember(id fleet.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.shares.removeMember(id)
}

// PublishDemand returns the digest to send to the other entry instances. The digest counts as
// published from now on, so it must be sent.
func (c *Controller) PublishDemand(now time.Time) Demand {
	c.mu.Lock()
	defer c.mu.Unlock()

	snapshot := c.table.Load()
	if snapshot == nil {
		return Demand{At: now.UnixMilli()}
	}

	d := c.shares.publish(now, snapshot.accountList)
	c.rebalance(now, snapshot)

	return d
}

// ApplyDemand applies a digest received from another entry instance. Digests may be delayed,
// duplicated and reordered.
func (c *Controller) ApplyDemand(now time.Time, from fleet.InstanceID, d Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if from != c.Instance {
		c.shares.applyDigest(now, from, d)
	}
}

// Rebalance recomputes this instance's share of every limit. Run calls it.
func (c *Controller) Rebalance(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if snapshot := c.table.Load(); snapshot != nil {
		c.rebalance(now, snapshot)
	}
}

func (c *Controller) rebalance(now time.Time, snapshot *table) {
	c.shares.recompute(now)
	c.sharesValidUntil.Store(c.shares.validUntil(now))

	even := c.shares.evenShare()

	for _, a := range snapshot.accountList {
		old := a.limits.Load()
		share := c.shares.share(a.hash)

		if share != old.share || even != old.evenShare {
			a.limits.Store(&limits{config: old.config, share: share, evenShare: even})
			a.rescale(now, old.share, share)
		}
	}
}

// Share returns the fraction of an account's limits that this instance may use.
func (c *Controller) Share(name fleet.Account) float64 {
	snapshot := c.table.Load()
	if snapshot == nil || snapshot.accounts[name] == nil {
		return 0
	}

	return snapshot.accounts[name].limits.Load().share
}

// Ready reports whether this instance holds shares of the limits. It does from when its first
// digest has had the time to reach all members.
func (c *Controller) Ready(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	// The limits in use are those of the last rebalance, so apply the current shares first.
	if snapshot := c.table.Load(); snapshot != nil {
		c.rebalance(now, snapshot)
	}

	return c.shares.ready(now)
}
