package routing

import (
	"maps"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// maxOtherEntries bounds how far the sends of this entry instance are extrapolated to
// others; more than this has not been measured.
const maxOtherEntries = 39

// UpdateList takes the platform's list of instances in. A server that the list
// lacks is kept while it reports itself, for the list lags.
func (t *Table) UpdateList(now time.Time, listings []provider.Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	listed := make(map[fleet.InstanceID]bool, len(listings))

	changed := t.current.Load() == nil

	for _, l := range listings {
		listed[l.ID] = true
		changed = t.updateListing(now, l) || changed
	}

	for id, s := range t.servers {
		changed = changed || s.unlisted == listed[id]
		s.unlisted = !listed[id]
	}

	if changed {
		t.rebuild(now)
	}
}

// updateListing tells whether the entry changed anything.
func (t *Table) updateListing(now time.Time, l provider.Listing) bool {
	s := t.getOrAddServer(now, l.ID)
	s.lastListed = now

	next := s.spec
	next.key.service = l.Service
	next.address = l.Address
	next.domain = l.Domain
	next.class = l.Class

	changed := next != s.spec
	s.spec = next

	if l.State == provider.Leaving && t.markLeaving(s, SourceList) {
		return true
	}

	return changed
}

// UpdateEngineState takes in what an engine holds. A server whose engine isn't ready
// gets no request.
func (t *Table) UpdateEngineState(now time.Time, id fleet.InstanceID, state backend.EngineState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	s := t.getOrAddServer(now, id)
	s.lastSeen = now

	next := s.spec
	next.key.model = state.Model
	next.key.version = state.Version
	next.key.role = state.Role
	next.loading = !state.Ready

	if next != s.spec {
		s.spec = next
		t.rebuild(now)
	}
}

// UpdateOffers takes the present prices in; the lower price of a class counts.
func (t *Table) UpdateOffers(now time.Time, offers []provider.Offer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	prices := make(map[offerKey]float64, len(offers))

	for _, o := range offers {
		key := offerKey{class: o.Class, domain: o.Domain}
		if price, ok := prices[key]; !ok || o.PricePerHour < price {
			prices[key] = o.PricePerHour
		}
	}

	if !maps.Equal(prices, t.prices) {
		t.prices = prices
		t.rebuild(now)
	}
}

// UpdateEntryCount takes in how many entry instances send requests, this one
// included.
func (t *Table) UpdateEntryCount(now time.Time, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	otherEntries := min(max(0, n-1), maxOtherEntries)
	if otherEntries != t.otherEntries {
		t.otherEntries = otherEntries
		t.rebuild(now)
	}
}

// Report takes in what a server says of its load. An older report than the
// last changes no load, but is still believed that the server is leaving.
func (t *Table) Report(now time.Time, id fleet.InstanceID, r backend.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	s := t.getOrAddServer(now, id)
	s.lastSeen = now

	if r.Leaving && t.markLeaving(s, SourceServer) {
		t.rebuild(now)
	}

	if !r.At.After(s.reportedAt) {
		return
	}

	s.reportedAt = r.At
	s.applyLoad(now, r.At, int64(r.Running+r.Waiting))

	// The next tick makes the snapshot, once for all reports until then.
	if r.Capacity != s.spec.capacity {
		s.spec.capacity = r.Capacity
		t.snapshotStale = true
	}
}

// MarkLeaving takes in the news that a server is leaving, whether it is known yet or not.
func (t *Table) MarkLeaving(now time.Time, id fleet.InstanceID, source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	if t.markLeaving(t.getOrAddServer(now, id), source) {
		t.rebuild(now)
	}
}

// markLeaving marks a server and tells whether that is news. Nothing takes the mark
// away: what says "live" later may be older, and a replacement has another id.
func (t *Table) markLeaving(s *server, source Source) bool {
	if s.leaving.Swap(true) {
		return false
	}

	t.counters.leaving[source].Inc()

	return true
}

// CacheEvents takes in what entered or left the prefix cache of an engine.
func (t *Table) CacheEvents(now time.Time, id fleet.InstanceID, events []backend.CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	s := t.getOrAddServer(now, id)

	for _, e := range events {
		if e.Sequence <= s.lastCacheEvent {
			continue
		}

		if e.Sequence != s.lastCacheEvent+1 {
			t.counters.eventGaps.Inc()
		}

		s.lastCacheEvent = e.Sequence

		if e.Evicted {
			t.prefixes.remove(e.Prefix, s)
		} else {
			t.prefixes.add(now, e.Prefix, s)
		}
	}
}

// getOrAddServer returns the getOrAddServer with an id, made if it is new.
func (t *Table) getOrAddServer(now time.Time, id fleet.InstanceID) *server {
	s, ok := t.servers[id]
	if !ok {
		s = newServer(id, rank(t.Self, id))
		s.lastListed = now
		s.unlisted = true
		t.servers[id] = s
	}

	return s
}
