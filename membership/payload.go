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
	// has urgent changes left: ten, and another one each six seconds.
	Urgent
)

const (
	maxPayloadRate = 1
	payloadBurst   = 2
	urgentRate     = 1.0 / 6
	urgentBurst    = 10
)

// pendingPayload is the node's own payload that waits for its turn.
type pendingPayload struct {
	waiting bool
	urgent  bool
	data    string
	routine tokenBucket
	hurried tokenBucket
}

// SetPayload replaces the node's payload.
func (c *Core) SetPayload(now time.Time, data []byte, urgency Urgency) (Step, error) {
	c.begin(now)

	if len(data) > MaxPayload {
		return c.step, ErrPayloadTooLarge
	}

	c.pending.waiting = true
	c.pending.urgent = c.pending.urgent || urgency == Urgent
	c.pending.data = string(data)
	c.releasePayload()

	return c.step, nil
}

// releasePayload spreads the waiting payload when the rate allows it.
func (c *Core) releasePayload() {
	p := &c.pending
	if !p.waiting || c.stopped {
		return
	}

	share := min(maxPayloadRate, c.config.PayloadRate/float64(max(1, c.groups.size)))
	p.routine.refill(c.now, share, payloadBurst)
	p.hurried.refill(c.now, urgentRate, urgentBurst)

	if !p.routine.take(1) && (!p.urgent || !p.hurried.take(1)) {
		return
	}

	changed := *c.self()
	changed.payload = p.data
	changed.payloadVersion++
	c.replace(&changed, partPayload, p.urgent)
	p.waiting = false
	p.urgent = false
}
