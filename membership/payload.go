package membership

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPayloadTooLarge is returned for a payload above MaxPayload.
var ErrPayloadTooLarge = merry.Sentinel("payload is too large")

// Urgency is the priority of a payload.
type Urgency uint8

const (
	// Routine payloads wait for the member's share of Config.PayloadRate. Only the
	// latest of several waiting payloads is published.
	Routine Urgency = iota
	// Urgent payloads, such as the notice of a reclaim, are published immediately
	// within a limit: a burst of ten, and another one every six seconds, or every
	// n seconds with n live members if that is longer.
	Urgent
)

const (
	// maxMemberPayloadRate is the maximum share of Config.PayloadRate for one
	// member, in bytes per second; it applies in a small fleet.
	maxMemberPayloadRate = 200
	// payloadBurstBytes is the burst of routine updates in bytes.
	payloadBurstBytes = 2 * (MaxPayload + MaxName)
	// urgentChangesPerSecond is the rate of urgent changes of one member. In a large
	// fleet all members together are limited to one per second.
	urgentChangesPerSecond = 1.0 / 6
	urgentBurstChanges     = 10
)

// pendingPayload is the node's own payload that waits for the rate limit.
type pendingPayload struct {
	waiting       bool
	urgent        bool
	data          string
	routineBytes  tokenBucket
	urgentChanges tokenBucket
}

// SetPayload replaces the node's payload and publishes it when the rate limit
// allows.
func (c *Core) SetPayload(now time.Time, data []byte, urgency Urgency) (Step, error) {
	c.beginStep(now)

	if len(data) > MaxPayload {
		return c.step, ErrPayloadTooLarge
	}

	c.pending.waiting = true
	c.pending.urgent = c.pending.urgent || urgency == Urgent
	c.pending.data = string(data)
	c.publishPendingPayload()

	return c.step, nil
}

// publishPendingPayload publishes the waiting payload if the rate limit allows it.
func (c *Core) publishPendingPayload() {
	p := &c.pending
	if !p.waiting || c.stopped {
		return
	}

	changed := *c.self()
	changed.payload = p.data
	changed.payloadVersion++
	changed.urgent = p.urgent

	u := newUpdate(&changed, partPayload)
	share := min(maxMemberPayloadRate, c.config.PayloadRate/float64(max(1, c.live.count)))
	p.routineBytes.refill(c.now, share, payloadBurstBytes)
	p.urgentChanges.refill(c.now, min(urgentChangesPerSecond, 1/float64(max(1, c.live.count))), urgentBurstChanges)

	if !p.routineBytes.take(float64(u.size())) && (!p.urgent || !p.urgentChanges.take(1)) {
		return
	}

	c.store(&changed, partPayload, classifyChange(c.self(), &changed))
	p.waiting = false
	p.urgent = false
}
