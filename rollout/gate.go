package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// Choice is which versions a request may be sent to. The zero value is all.
type Choice struct {
	// Only is the new version, if the request is one of its share; Part is the part of its
	// servers that take that share, so that each carries what it would carry in the end.
	Only        fleet.Version
	ServerShare float64
	// Avoid are versions that it may not be sent to.
	Avoid []fleet.Version
}

// Gate says at one instance which versions requests are sent to. The zero value knows no
// order; it is safe for concurrent use, and Choose takes no lock.
type Gate struct {
	// GrantTTL is how long a decision to send to a new version counts; it is set before the first
	// use.
	GrantTTL time.Duration
	// Random draws from [0, 1) which requests are tried at the new version; nil draws from the
	// default source.
	Random func() float64

	mu      sync.Mutex
	current atomic.Pointer[map[fleet.Service]known]
}

// known is what an instance knows of one service.
type known struct {
	order Order
	// begun is when the order was first seen, here or by another instance.
	begun time.Time
	state State
	// at is when the holder made the decision, or before; zero is that it counts for no share.
	at time.Time
}

// AddOrder takes an order in and tells whether it is news. Until the holder's decision comes, the
// new version gets nothing.
func (g *Gate) AddOrder(now time.Time, o Order) bool {
	return g.change(o.Service, func(k *known) bool {
		if o.Place <= k.order.Place {
			return false
		}

		if o.again(k.order) {
			k.moveTo(o.Place)

			return true
		}

		k.order, k.begun = o, now

		if k.state.Place == o.Place {
			k.begun = now.Add(-k.state.Elapsed)
		}

		return true
	})
}

// moveTo puts what is known of an order under the place at which it was written again.
func (k *known) moveTo(place uint64) {
	if k.state.Place == k.order.Place {
		k.state.Place = place
		k.state.ReachedBefore, k.state.ExposedBefore = k.state.Reached, k.state.Exposed
	}

	k.order.Place = place
}

// Apply takes a decision in that the holder made at a time, or later. One whose age is not
// known has the zero time.
func (g *Gate) Apply(now time.Time, s State, at time.Time) {
	g.change(s.Service, func(k *known) bool {
		switch {
		case s.Replaces(k.state):
			k.state, k.at = s, at

			if begun := now.Add(-s.Elapsed); s.Place == k.order.Place && begun.Before(k.begun) {
				k.begun = begun
			}
		case !k.state.Replaces(s) && at.After(k.at):
			k.at = at
		default:
			return false
		}

		return true
	})
}

// change puts a changed picture in place of the one before, and tells whether it changed.
func (g *Gate) change(service fleet.Service, apply func(*known) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	var all map[fleet.Service]known
	if p := g.current.Load(); p != nil {
		all = maps.Clone(*p)
	} else {
		all = make(map[fleet.Service]known)
	}

	k := all[service]
	if !apply(&k) {
		return false
	}

	all[service] = k
	g.current.Store(&all)

	return true
}

// of returns what is known of a service.
func (g *Gate) of(service fleet.Service) (known, bool) {
	all := g.current.Load()
	if all == nil {
		return known{}, false
	}

	k, ok := (*all)[service]

	return k, ok
}

// Choose returns which versions a request may be sent to now.
func (g *Gate) Choose(now time.Time, service fleet.Service) Choice {
	k, ok := g.of(service)
	if !ok {
		return Choice{}
	}

	if !k.undecided() && k.state.Phase == Trial && now.Sub(k.at) < g.GrantTTL && g.draw() < k.state.Share {
		return Choice{Only: k.state.Target, ServerShare: k.state.Share}
	}

	return k.rest()
}

func (g *Gate) draw() float64 {
	if g.Random != nil {
		return g.Random()
	}

	return rand.Float64()
}

// ChooseRetry returns which versions a further send of a request may go to: a request that was
// tried once is not tried at the new version again.
func (g *Gate) ChooseRetry(service fleet.Service) Choice {
	k, ok := g.of(service)
	if !ok {
		return Choice{}
	}

	return k.rest()
}

// undecided tells whether the holder has said nothing of the newest order yet.
func (k known) undecided() bool { return k.order.Place > k.state.Place }

// rest returns the choice of a request that is none of the new version's share.
func (k known) rest() Choice {
	if k.undecided() {
		return Choice{Avoid: avoided(k.state.Avoid, k.order.Target)}
	}

	if k.state.Phase == Completed {
		return Choice{Avoid: k.state.Avoid}
	}

	return Choice{Avoid: avoided(k.state.Avoid, k.state.Target)}
}

// InTrial returns the order of a service whose new version is being tried.
func (g *Gate) InTrial(service fleet.Service) (target fleet.Version, place uint64, trial bool) {
	k, ok := g.of(service)
	if !ok {
		return "", 0, false
	}

	if k.undecided() {
		return k.order.Target, k.order.Place, true
	}

	return k.state.Target, k.state.Place, k.state.Phase == Trial
}

// Update is a state and how long ago, at most, the holder made it; negative is not known.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	State    State
	Age      time.Duration
}

// Updates returns what this instance tells others.
func (g *Gate) Updates(now time.Time) []Update {
	all := g.current.Load()
	if all == nil {
		return nil
	}

	var updates []Update

	for _, service := range slices.Sorted(maps.Keys(*all)) {
		k := (*all)[service]
		if k.state.Place == 0 {
			continue
		}

		update := Update{State: k.state, Age: -1}
		if !k.at.IsZero() {
			update.Age = now.Sub(k.at)
		}

		updates = append(updates, update)
	}

	return updates
}

// States returns the newest states of all services.
func (g *Gate) States() []State {
	updates := g.Updates(time.Time{})
	states := make([]State, 0, len(updates))

	for _, w := range updates {
		states = append(states, w.State)
	}

	return states
}

// Task is the newest order of a service, when it was first seen, and the newest state of the
// service, which may be one of an earlier order.
type Task struct {
	Order     Order
	FirstSeen time.Time
	State     State
}

// Tasks returns the newest orders of all services.
func (g *Gate) Tasks() []Task {
	all := g.current.Load()
	if all == nil {
		return nil
	}

	var tasks []Task

	for _, service := range slices.Sorted(maps.Keys(*all)) {
		if k := (*all)[service]; k.order.Place > 0 {
			tasks = append(tasks, Task{Order: k.order, FirstSeen: k.begun, State: k.state})
		}
	}

	return tasks
}
