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
	// maxPayloadShare bounds a member's share of the rate in a small fleet.
	maxPayloadShare = 200
	// payloadBurst is how many bytes of routine updates may be saved up.
	payloadBurst = 2 * (MaxPayload + MaxName)
	// urgentRate is how many urgent changes accrue to a member in a second; in
	// a large fleet it is one for all members together.
	urgentRate  = 1.0 / 6
	urgentBurst = 10
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

	changed := *c.self()
	changed.payload = p.data
	changed.payloadVersion++
	changed.urgent = p.urgent

	u := newUpdate(&changed, partPayload)
	share := min(maxPayloadShare, c.config.PayloadRate/float64(max(1, c.groups.size)))
	p.routine.refill(c.now, share, payloadBurst)
	p.hurried.refill(c.now, min(urgentRate, 1/float64(max(1, c.groups.size))), urgentBurst)

	if !p.routine.take(float64(u.size())) && (!p.urgent || !p.hurried.take(1)) {
		return
	}

	c.replace(&changed, partPayload, classOf(c.self(), &changed))
	p.waiting = false
	p.urgent = false
}
