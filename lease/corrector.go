package lease

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Corrector reconciles targets with their desired state. It orders the full state with the
// fencing token of the holder, reads the state back, and repeats the order if the state
// differs or carries the token of another holder.
//
// A target has at most one outstanding order, since the fencing token does not sequence the
// orders of one holder. The caller reports the end of each order by OrderFinished.
//
// Corrector reads each target every ReadInterval until the target is removed, since an engine
// that ignores fencing tokens may apply an old order at any time.
type Corrector[S comparable] struct {
	// ReadInterval is the minimum time between two reads of one target.
	ReadInterval time.Duration
	// RetryInterval is the minimum time between two orders of the same state to one target.
	RetryInterval time.Duration
	// MaxOrderDelay is how long an order may still take effect after its call ended without a
	// response. Another state is ordered only after this time.
	MaxOrderDelay time.Duration

	targets map[fleet.InstanceID]*target[S]
}

type target[S comparable] struct {
	desired     S
	settled     bool
	lastOrderAt time.Time
	lastReadAt  time.Time
	fence       Fence
	// outstanding is set while the call of an order runs. orderedState is the state of the
	// last order.
	outstanding  bool
	orderedState S
	// uncertainUntil is how long the last order without a response may still take effect.
	uncertainUntil time.Time
}

// SetDesired sets the desired state of a target.
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

// Remove removes a target that no longer exists.
func (c *Corrector[S]) Remove(id fleet.InstanceID) {
	delete(c.targets, id)
}

// Observe applies the state that the caller read from a target. A target that checks fencing
// tokens is settled only once it has the token of this holder, since until then it would still
// accept an order of an older holder.
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

// OrderFinished reports that the call of an order ended at now. certain is set if the target
// is known to have applied or refused the order; otherwise the order may still take effect
// within MaxOrderDelay.
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

// Step returns the orders and reads to send at now with the fencing token from Core.Check.
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

// Settled reports whether the last read of a target showed the desired state.
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
