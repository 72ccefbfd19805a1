package entry

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// confirmations are the times at which other instances last found their rules to be the
// newest, as they said in heartbeats. The zero value knows none.
type confirmations struct {
	mu sync.Mutex
	at map[fleet.InstanceID]time.Time
}

// record takes in that an instance confirmed its rules at a time.
func (c *confirmations) record(id fleet.InstanceID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.at == nil {
		c.at = make(map[fleet.InstanceID]time.Time)
	}

	c.at[id] = at
}

// last returns when an instance confirmed its rules last; the zero time is not known.
func (c *confirmations) last(id fleet.InstanceID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.at[id]
}

// newest returns the newest confirmation of some instances, and forgets those of all others.
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
