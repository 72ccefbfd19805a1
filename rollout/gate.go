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

// Choice restricts the versions that a request may be sent to. The zero value allows all
// versions.
type Choice struct {
	// Only is the new version if the request belongs to its share, otherwise empty.
	// ServerShare is the fraction of its servers that receive such requests, so that each of
	// them carries the load that it would carry after completion.
	Only        fleet.Version
	ServerShare float64
	// Avoid lists the versions that the request must not be sent to.
	Avoid []fleet.Version
}

// Gate decides at one instance which versions requests may be sent to. The zero value has no
// orders; it is safe for concurrent use, and Choose takes no lock.
type Gate struct {
	// GrantTTL is how long a decision to send requests to a new version remains valid. It is
	// set before the first use.
	GrantTTL time.Duration
	// Random returns numbers in [0, 1) that select the requests for the new version; nil uses
	// the default source.
	Random func() float64

	mu      sync.Mutex
	current atomic.Pointer[map[fleet.Service]serviceState]
}

// serviceState is the newest order and decision of one service.
type serviceState struct {
	order Order
	// firstSeen is when this or another instance first saw the order.
	firstSeen time.Time
	state     State
	// decidedAt is a lower bound of the time at which the holder made the decision. With the
	// zero time, the decision's share has no effect.
	decidedAt time.Time
}

// AddOrder adds an order and reports whether it is new. The new version receives no requests
// until the holder's first decision arrives.
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

// changePlace moves the state of an order to the place at which the order was reissued.
func (k *serviceState) changePlace(place uint64) {
	if k.state.Place == k.order.Place {
		k.state.Place = place
		k.state.ReachedBefore, k.state.ExposedBefore = k.state.Reached, k.state.Exposed
	}

	k.order.Place = place
}

// Apply applies a decision that the holder made at or after a time; the zero time means that
// its age is unknown.
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

// update replaces the state of a service with a changed copy and reports whether it changed.
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

// lookup returns the state of a service.
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

	if k.grantsTrial(now, g.GrantTTL) && g.draw() < k.state.Share {
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

// ChooseRetry returns which versions a repeated attempt of a request may be sent to. The new
// version is not among them unless its roll-out is completed.
func (g *Gate) ChooseRetry(service fleet.Service) Choice {
	k, ok := g.lookup(service)
	if !ok {
		return Choice{}
	}

	return k.oldVersionChoice()
}

// Avoided returns the versions that a stream which began at a version must not go on at. The version
// itself is among them once it was reverted, or while it is on trial and no request may begin
// there.
func (g *Gate) Avoided(now time.Time, service fleet.Service, version fleet.Version) []fleet.Version {
	k, ok := g.lookup(service)
	if !ok {
		return nil
	}

	if version == k.state.Target && k.state.Share > 0 && k.grantsTrial(now, g.GrantTTL) {
		return nil
	}

	return k.oldVersionChoice().Avoid
}

// grantsTrial reports whether the newest decision allows requests to the new version on trial.
func (k serviceState) grantsTrial(now time.Time, ttl time.Duration) bool {
	return !k.undecided() && k.state.Phase == Trial && now.Sub(k.decidedAt) < ttl
}

// undecided reports whether no decision on the newest order has arrived yet.
func (k serviceState) undecided() bool { return k.order.Place > k.state.Place }

// oldVersionChoice returns the choice for requests outside of the new version's share.
func (k serviceState) oldVersionChoice() Choice {
	if k.undecided() {
		return Choice{Avoid: addVersions(k.state.Avoid, k.order.Target)}
	}

	if k.state.Phase == Completed {
		return Choice{Avoid: k.state.Avoid}
	}

	return Choice{Avoid: addVersions(k.state.Avoid, k.state.Target)}
}

// InTrial returns the version and the place of the service's newest order, and whether the
// version is in its trial.
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

// Update is a state and the maximum time since the holder decided on it; a negative Age means
// that it is unknown.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	State    State
	Age      time.Duration
}

// Updates returns the states that this instance sends to other instances.
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
// service, which may belong to an earlier order.
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
