package lease

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Corrector keeps targets at the wanted state. It orders the whole state under
// the fencing number of the holder, reads it back, and orders again where the
// state differs or is of another holder.
//
// A target has one order outstanding at most, since the fencing number does not
// put the orders of one holder in order. The shell reports the end of each by
// Answered.
//
// It reads each target every ReadEvery for as long as it is wanted, since an
// engine that ignores the fencing number may take an old order at any time.
type Corrector[S comparable] struct {
	// ReadInterval is the time between two reads of one target.
	ReadInterval time.Duration
	// RetryInterval is the time between two orders of the same state to one target.
	RetryInterval time.Duration
	// MaxOrderDelay is how long an order may still take effect after its call ended
	// without an answer. Another state is ordered only after that.
	MaxOrderDelay time.Duration

	targets map[fleet.InstanceID]*target[S]
}

type target[S comparable] struct {
	desired     S
	settled     bool
	lastOrderAt time.Time
	lastReadAt  time.Time
	fence       Fence
	// outstanding is set while a call runs, and ordered is the state it asks for.
	outstanding    bool
	orderedState   S
	uncertainUntil time.Time
}

// SetDesired sets the wanted state of a target.
func (c *Corrector[S]) SetDesired(id fleet.InstanceID, state S) {
	if c.targets == nil {
		c.targets = make(map[fleet.InstanceID]*target[S])
	}

	t, ok := c.targets[id]
	if !ok {
		t = &target[S]{}
		c.targets[id] = t
	}

	if ok && t.desired == state {
		return
	}

	t.desired = state
	t.settled = false
	t.lastOrderAt = time.Time{}
}

// Remove drops a target that is gone.
func (c *Corrector[S]) Remove(id fleet.InstanceID) {
	delete(c.targets, id)
}

// Observe takes in what was read from a target. A target that checks fencing
// numbers is settled only once it holds that of this holder, since until then
// it would still take an order of an older one.
func (c *Corrector[S]) Observe(id fleet.InstanceID, r Readback[S]) {
	t, ok := c.targets[id]
	if !ok {
		return
	}

	settled := r.State == t.desired && (!r.ChecksFence || r.Fence == t.fence)
	if t.settled && !settled {
		t.lastOrderAt = time.Time{}
	}

	t.settled = settled
}

// OrderFinished takes in the end of the call of an order at now: certain if the target
// took or refused it, and else it may still take effect within Flight.
func (c *Corrector[S]) OrderFinished(now time.Time, id fleet.InstanceID, certain bool) {
	t, ok := c.targets[id]
	if !ok {
		return
	}

	t.outstanding = false
	if !certain {
		t.uncertainUntil = now.Add(c.MaxOrderDelay)
	}
}

// Step returns what to send at now under the fencing number from Core.Check.
func (c *Corrector[S]) Step(now time.Time, fence Fence) []Action[S] {
	var actions []Action[S]

	for _, id := range c.ids() {
		t := c.targets[id]
		if t.fence != fence {
			t.fence = fence
			t.settled = false
			t.lastOrderAt = time.Time{}
		}

		if t.mayOrder(now, c.RetryInterval) {
			t.lastOrderAt = now
			t.outstanding = true
			t.orderedState = t.desired
			actions = append(actions, Action[S]{Target: id, State: t.desired, Fence: fence})
		}

		if isDue(now, t.lastReadAt, c.ReadInterval) {
			t.lastReadAt = now
			actions = append(actions, Action[S]{Target: id, Read: true})
		}
	}

	return actions
}

// Settled tells whether a target was last read at its wanted state.
func (c *Corrector[S]) Settled(id fleet.InstanceID) bool {
	t, ok := c.targets[id]

	return ok && t.settled
}

func (c *Corrector[S]) ids() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(c.targets))
	for id := range c.targets {
		ids = append(ids, id)
	}

	slices.Sort(ids)

	return ids
}

func (t *target[S]) mayOrder(now time.Time, retry time.Duration) bool {
	if t.settled || t.outstanding || !isDue(now, t.lastOrderAt, retry) {
		return false
	}

	return t.desired == t.orderedState || !now.Before(t.uncertainUntil)
}

func isDue(now, last time.Time, interval time.Duration) bool {
	return last.IsZero() || now.Sub(last) >= interval
}
