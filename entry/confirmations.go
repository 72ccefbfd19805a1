package entry

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// confirmations holds the times at which other instances last confirmed that their rules are the
// newest, as reported in their heartbeats. The zero value is empty.
type confirmations struct {
	mu sync.Mutex
	at map[fleet.InstanceID]time.Time
}

// record stores the time at which an instance confirmed its rules.
func (c *confirmations) record(id fleet.InstanceID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.at == nil {
		c.at = make(map[fleet.InstanceID]time.Time)
	}

	c.at[id] = at
}

// last returns when an instance last confirmed its rules; the zero time is unknown.
func (c *confirmations) last(id fleet.InstanceID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.at[id]
}

// newest returns the newest confirmation of the given instances, and discards those of all others.
func (c *confirmations) newest(ids []fleet.InstanceID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	kept := make(map[fleet.InstanceID]time.Time, len(ids))

	var newest time.Time

	for _, id := range ids {
		if at, ok := c.at[id]; ok {
			kept[id] = at
			if at.After(newest) {
				newest = at
			}
		}
	}

	c.at = kept

	return newest
}
