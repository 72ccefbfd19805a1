package membership

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPayloadTooLarge is returned for a payload above MaxPayload.
var ErrPayloadTooLarge = merry.Sentinel("payload is too large")

// Urgency says how soon a payload is spread.
type Urgency uint8

const (
	// Routine payloads wait for the member's share of the fleet's rate; of
	// several that wait only the last is spread.
	Routine Urgency = iota
	// Urgent payloads, such as news of a reclaim, go at once while the member
	// has urgent changes left: ten, and another one each six seconds, or each
	// as many seconds as there are members.
	Urgent
)

const (
	// maxMemberPayloadRate bounds a member's share of the rate in a small fleet.
	maxMemberPayloadRate = 200
	// payloadBurstBytes is how many bytes of routine updates may be saved up.
	payloadBurstBytes = 2 * (MaxPayload + MaxName)
	// urgentChangesPerSecond is how many urgent changes accrue to a member in a second; in
	// a large fleet it is one for all members together.
	urgentChangesPerSecond  = 1.0 / 6
	urgentBurstChanges = 10
)

// pendingPayload is the node's own payload that waits for its turn.
type pendingPayload struct {
	waiting bool
	urgent  bool
	data    string
	routineBytes tokenBucket
	urgentChanges tokenBucket
}

// SetPayload replaces the node's payload.
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

// publishPendingPayload spreads the waiting payload when the rate allows it.
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
