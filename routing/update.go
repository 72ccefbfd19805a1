package routing

import (
	"maps"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// maxOtherEntries caps the number of other entry instances to which the sends of this
// one are extrapolated. The extrapolation is verified for up to 40 entry instances
// (TestComparison with -large).
const maxOtherEntries = 39

// UpdateList applies the platform's list of instances. The list lags, so a server that
// is missing from it still gets requests while it reports.
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

// updateListing applies one entry of the list and reports whether it changed anything.
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

// UpdateEngineState applies the state of a server's engine. A server whose engine isn't
// ready gets no requests.
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

// UpdateOffers applies the current prices. Of several offers for the same class and
// failure domain, the lowest price counts.
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

// UpdateEntryCount sets the number of entry instances that send requests, including
// this one.
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

// Report applies a load report of a server. A report that isn't newer than the last one
// doesn't change the load, but still marks the server as leaving if it says so.
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

	// The next tick rebuilds the snapshot once for all reports since the last one.
	if r.Capacity != s.spec.capacity {
		s.spec.capacity = r.Capacity
		t.snapshotStale = true
	}
}

// MarkLeaving marks a server as leaving. The server need not be known yet.
func (t *Table) MarkLeaving(now time.Time, id fleet.InstanceID, source Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	if t.markLeaving(t.getOrAddServer(now, id), source) {
		t.rebuild(now)
	}
}

// markLeaving marks a server as leaving and reports whether it wasn't marked before.
// The mark is never cleared: a later update that shows the server as live may be
// outdated, and a replacement has a different id.
func (t *Table) markLeaving(s *server, source Source) bool {
	if s.leaving.Swap(true) {
		return false
	}

	t.counters.leaving[source].Inc()

	return true
}

// CacheEvents applies insertions into and evictions from the prefix cache of an engine.
// It skips events that aren't newer than the last one.
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

// getOrAddServer returns the server with an id, and adds it if it isn't known.
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
