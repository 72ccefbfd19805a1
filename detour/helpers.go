package detour

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
)

const (
	// helperTTL is how long an instance counts as a helper after it was last heard of.
	helperTTL = 3 * time.Second
	// failureAvoidance is how long an instance that did not help is asked only if no other is
	// left.
	failureAvoidance = time.Second
	// maxHelpers bounds how many instances are remembered.
	maxHelpers = 64
)

// Helper is an instance that may help.
type Helper struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	ID       fleet.InstanceID
	// Address is its address for other instances, as IP:port.
	Address string
}

// Helpers holds the instances that may serve requests of this one. Its exported field is set
// before its first use. It is safe for concurrent use.
type Helpers struct {
	Self fleet.InstanceID

	mu    sync.Mutex
	known map[fleet.InstanceID]*helperState
}

type helperState struct {
	Helper

	address netip.AddrPort
	seenAt  time.Time
	// lost are the services that the instance can't reach.
	lost []fleet.Service
	// failedAt is when it last did not help with a service.
	failedAt map[fleet.Service]time.Time
	// direct is set if the instance itself told this one of its lost services.
	direct bool
	// inFlight counts the requests of this instance that it serves now.
	inFlight int
}

// Record records that an instance helps, except with the services that it can't reach itself.
func (h *Helpers) Record(now time.Time, helper Helper, lost []fleet.Service) {
	h.record(now, helper, lost, true)
}

// RecordNamed records a helper that another instance named.
func (h *Helpers) RecordNamed(now time.Time, helper Helper) { h.record(now, helper, nil, false) }

func (h *Helpers) record(now time.Time, helper Helper, lost []fleet.Service, direct bool) {
	address, err := netip.ParseAddrPort(helper.Address)
	if err != nil || helper.ID == h.Self {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.known == nil {
		h.known = make(map[fleet.InstanceID]*helperState)
	}

	state := h.known[helper.ID]
	if state == nil {
		if h.evict(now); len(h.known) >= maxHelpers {
			return
		}

		state = &helperState{failedAt: make(map[fleet.Service]time.Time)}
		h.known[helper.ID] = state
	}

	state.Helper, state.address, state.seenAt = helper, address, now
	if direct || !state.direct {
		state.lost, state.direct = lost, direct
	}
}

// evict removes the helpers that were not heard of for helperTTL. h.mu is held.
func (h *Helpers) evict(now time.Time) {
	for id, state := range h.known {
		if now.Sub(state.seenAt) > helperTTL && state.inFlight == 0 {
			delete(h.known, id)
		}
	}
}

// Remove removes an instance that stops.
func (h *Helpers) Remove(id fleet.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if state := h.known[id]; state != nil && state.inFlight == 0 {
		delete(h.known, id)
	} else if state != nil {
		state.seenAt = time.Time{}
	}
}

// Available reports whether an instance may help with a service.
func (h *Helpers) Available(now time.Time, service fleet.Service) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, state := range h.known {
		if state.reaches(now, service) {
			return true
		}
	}

	return false
}

// choose returns the one of two random helpers that serves fewer requests of this instance, and
// counts a request there until release is called. Helpers that failed a moment ago are chosen only
// if there is no other.
func (h *Helpers) choose(now time.Time, service fleet.Service, excluded []fleet.InstanceID) (Helper, netip.AddrPort, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	var candidates, failed []*helperState

	for _, state := range h.known {
		switch {
		case !state.reaches(now, service) || slices.Contains(excluded, state.ID):
		case state.failedRecently(now, service):
			failed = append(failed, state)
		default:
			candidates = append(candidates, state)
		}
	}

	if len(candidates) == 0 {
		candidates = failed
	}

	if len(candidates) == 0 {
		return Helper{}, netip.AddrPort{}, false
	}

	chosen := candidates[rand.IntN(len(candidates))]
	if other := candidates[rand.IntN(len(candidates))]; other.inFlight < chosen.inFlight {
		chosen = other
	}

	chosen.inFlight++

	return chosen.Helper, chosen.address, true
}

// release ends a request at a helper. A helper that failed is avoided for a time.
func (h *Helpers) release(now time.Time, id fleet.InstanceID, service fleet.Service, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	state := h.known[id]
	if state == nil {
		return
	}

	state.inFlight--

	if failed {
		state.failedAt[service] = now
	} else {
		delete(state.failedAt, service)
	}
}

// Sample returns up to n random helpers for an instance that can't reach some services: those
// that told this instance that they reach them.
func (h *Helpers) Sample(now time.Time, n int, lost []fleet.Service, to fleet.InstanceID) []Helper {
	h.mu.Lock()
	defer h.mu.Unlock()

	var sample []Helper

	for _, state := range h.known {
		reachesAll := !slices.ContainsFunc(lost, func(service fleet.Service) bool { return !state.reaches(now, service) })
		if reachesAll && state.seenAt.Add(helperTTL).After(now) && state.ID != to {
			sample = append(sample, state.Helper)
		}
	}

	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })

	return sample[:min(n, len(sample))]
}

// reaches reports whether the helper was heard of recently and does not say that it can't reach
// the service.
func (s *helperState) reaches(now time.Time, service fleet.Service) bool {
	return now.Sub(s.seenAt) <= helperTTL && !slices.Contains(s.lost, service)
}

func (s *helperState) failedRecently(now time.Time, service fleet.Service) bool {
	at, failed := s.failedAt[service]

	return failed && now.Sub(at) < failureAvoidance
}
