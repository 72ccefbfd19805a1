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
	current atomic.Pointer[map[fleet.Service]serviceState]
}

// serviceState is what an instance knows of one service.
type serviceState struct {
	order Order
	// firstSeen is when the order was first seen, here or by another instance.
	firstSeen time.Time
	state     State
	// decidedAt is when the holder made the decision, or before; zero is that it counts for no share.
	decidedAt time.Time
}

// AddOrder takes an order in and tells whether it is news. Until the holder's decision comes, the
// new version gets nothing.
func (g *Gate) AddOrder(now time.Time, o Order) bool {
	return g.update(o.Service, func(k *serviceState) bool {
		if o.Place <= k.order.Place {
			return false
		}

		if o.reissues(k.order) {
			k.changePlace(o.Place)

			return true
		}

		k.order, k.firstSeen = o, now

		if k.state.Place == o.Place {
			k.firstSeen = now.Add(-k.state.Elapsed)
		}

		return true
	})
}

// changePlace puts what is known of an order under the place at which it was written again.
func (k *serviceState) changePlace(place uint64) {
	if k.state.Place == k.order.Place {
		k.state.Place = place
		k.state.ReachedBefore, k.state.ExposedBefore = k.state.Reached, k.state.Exposed
	}

	k.order.Place = place
}

// Apply takes a decision in that the holder made at a time, or later. One whose age is not
// known has the zero time.
func (g *Gate) Apply(now time.Time, s State, at time.Time) {
	g.update(s.Service, func(k *serviceState) bool {
		switch {
		case s.Replaces(k.state):
			k.state, k.decidedAt = s, at

			if firstSeen := now.Add(-s.Elapsed); s.Place == k.order.Place && firstSeen.Before(k.firstSeen) {
				k.firstSeen = firstSeen
			}
		case !k.state.Replaces(s) && at.After(k.decidedAt):
			k.decidedAt = at
		default:
			return false
		}

		return true
	})
}

// update puts a changed picture in place of the one before, and tells whether it changed.
func (g *Gate) update(service fleet.Service, apply func(*serviceState) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	var all map[fleet.Service]serviceState
	if p := g.current.Load(); p != nil {
		all = maps.Clone(*p)
	} else {
		all = make(map[fleet.Service]serviceState)
	}

	k := all[service]
	if !apply(&k) {
		return false
	}

	all[service] = k
	g.current.Store(&all)

	return true
}

// lookup returns what is known lookup a service.
func (g *Gate) lookup(service fleet.Service) (serviceState, bool) {
	all := g.current.Load()
	if all == nil {
		return serviceState{}, false
	}

	k, ok := (*all)[service]

	return k, ok
}

// Choose returns which versions a request may be sent to now.
func (g *Gate) Choose(now time.Time, service fleet.Service) Choice {
	k, ok := g.lookup(service)
	if !ok {
		return Choice{}
	}

	if !k.undecided() && k.state.Phase == Trial && now.Sub(k.decidedAt) < g.GrantTTL && g.draw() < k.state.Share {
		return Choice{Only: k.state.Target, ServerShare: k.state.Share}
	}

	return k.oldVersionChoice()
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
	k, ok := g.lookup(service)
	if !ok {
		return Choice{}
	}

	return k.oldVersionChoice()
}

// undecided tells whether the holder has said nothing of the newest order yet.
func (k serviceState) undecided() bool { return k.order.Place > k.state.Place }

// oldVersionChoice returns the choice of a request that is none of the new version's share.
func (k serviceState) oldVersionChoice() Choice {
	if k.undecided() {
		return Choice{Avoid: addVersions(k.state.Avoid, k.order.Target)}
	}

	if k.state.Phase == Completed {
		return Choice{Avoid: k.state.Avoid}
	}

	return Choice{Avoid: addVersions(k.state.Avoid, k.state.Target)}
}

// InTrial returns the order of a service whose new version is being tried.
func (g *Gate) InTrial(service fleet.Service) (target fleet.Version, place uint64, trial bool) {
	k, ok := g.lookup(service)
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
		if !k.decidedAt.IsZero() {
			update.Age = now.Sub(k.decidedAt)
		}

		updates = append(updates, update)
	}

	return updates
}

// States returns the newest states of all services.
func (g *Gate) States() []State {
	updates := g.Updates(time.Time{})
	states := make([]State, 0, len(updates))

	for _, u := range updates {
		states = append(states, u.State)
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
			tasks = append(tasks, Task{Order: k.order, FirstSeen: k.firstSeen, State: k.state})
		}
	}

	return tasks
}
