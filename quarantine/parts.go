package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/feed"
	"monsoonlever/register"
)

const (
	// holdDuration is how long a part is held off after its newest crash. A part that was let go
	// could crash as many servers again.
	holdDuration = 24 * time.Hour
	// maxPartSuspects bounds the remembered suspects, to some 4 MB of memory.
	maxPartSuspects = 1024
	// maxStoredReports bounds the reports in a stored record, and storedCrashes those of one part,
	// which are enough to hold it off.
	maxStoredReports = 40
	storedCrashes    = minPartCrashes + 2
	// maxRecordAge bounds the age of a stored record, since clocks differ. The store keeps none for
	// longer.
	maxRecordAge = 30 * time.Second
)

// Parts finds out which parts of prompts crash servers, and holds requests with such a part off,
// whatever else they hold. The zero value is empty; it is safe for concurrent use.
//
// A server that crashes takes all its requests along; those whose answer had not begun are suspects
// with all their shared parts. A part is held off once servers have crashed on it at three
// moments, unless answers to requests with it begin among these crashes, or another part explains
// them better. Servers that crash at one moment may have a cause in common that lies in no request, and
// all parts that are often sent stand at their crashes. A part that stands at nearly all of them, and is
// seldom sent, is held off after five crashes at any moments. What began before the crashes says nothing:
// a part may turn harmful. Parts that nothing tells apart are held off together: a request has to hold
// all of them.
type Parts struct {
	// OnHeld is called when parts become held off. It must not block, may be nil, and is set
	// before the first use.
	OnHeld func(parts []PartKey)
	// OnCrash is called with what is known of a part at which servers crashed several times, at each
	// further crash. It must not block, may be nil, and is set before the first use.
	OnCrash func(PartEvidence)
	// OnEvidence is called when there is more evidence to store: a server crashed on a part. It must
	// not block, may be nil, and is set before the first use.
	OnEvidence func()

	mu       sync.Mutex
	suspects map[PartKey]*partSuspect
	recent   recentBegins
	outbox   outbox[PartReport]
	wake     feed.Signal
	groups   []heldGroup

	// held are the groups of parts that are held off. The request path reads it without a lock.
	held atomic.Pointer[[][]PartKey]
}

// Held returns a part by which a request with the parts is held off, and reports whether it is.
func (p *Parts) Held(parts []PartKey) (PartKey, bool) {
	groups := p.held.Load()
	if groups == nil {
		return 0, false
	}

	for _, group := range *groups {
		if containsAll(parts, group) {
			return group[0], true
		}
	}

	return 0, false
}

func containsAll(parts, group []PartKey) bool {
	for _, part := range group {
		if !slices.Contains(parts, part) {
			return false
		}
	}

	return true
}

// HeldCount returns the number of parts, or groups of parts, that are held off.
func (p *Parts) HeldCount() int {
	if groups := p.held.Load(); groups != nil {
		return len(*groups)
	}

	return 0
}

// RecordCrash records that a server process crashed before it had begun the answer to a request with the
// parts. The caller has verified that the process has ended and had not announced to leave.
func (p *Parts) RecordCrash(now time.Time, server register.Process, parts []PartKey) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, part := range parts {
		p.merge(now, PartReport{Part: part, Event: uint64(keyOf(server))}, observedHere)
	}

	p.decide(now)
	p.reportCrashes(parts)
}

// RecordBegin records that the answer to a request with the parts began.
func (p *Parts) RecordBegin(now time.Time, requestID string, parts []PartKey) {
	p.mu.Lock()
	defer p.mu.Unlock()

	event, changed := beginOf(requestID), false

	for _, part := range parts {
		p.recent.add(now, part, event)

		if s := p.suspects[part]; s != nil && s.suspected() {
			changed = p.merge(now, PartReport{Part: part, Event: event, Begun: true}, observedHere) || changed
		}
	}

	if changed {
		p.decide(now)
	}
}

// Merge merges what another instance sent or stored. With forward set, this instance sends new
// reports on to its own peers.
func (p *Parts) Merge(now time.Time, reports []PartReport, forward bool) {
	if len(reports) == 0 {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, r := range reports {
		p.merge(now, r, originOf(forward))
	}

	p.decide(now)
}

// MergeRecorded merges what an instance stored at a time by its own clock.
func (p *Parts) MergeRecorded(now, recordedAt time.Time, reports []PartReport) {
	age := min(max(now.Sub(recordedAt), 0), maxRecordAge)

	aged := slices.Clone(reports)
	for i := range aged {
		aged[i].AgeMs = uint32(min(time.Duration(aged[i].AgeMs)*time.Millisecond+age, holdDuration).Milliseconds())
	}

	p.Merge(now, aged, false)
}

// merge merges one report and reports whether it is new.
func (p *Parts) merge(now time.Time, r PartReport, from origin) bool {
	if p.suspects == nil {
		p.suspects = make(map[PartKey]*partSuspect)
	}

	s, known := p.suspects[r.Part]
	if !known {
		s = &partSuspect{lastCrash: now}
		p.suspects[r.Part] = s
	}

	at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if !s.merge(at, r) {
		return false
	}

	if from != received {
		p.send(r)
	}

	if !r.Begun {
		p.reportRecentBegins(at, r.Part, s)

		if p.OnEvidence != nil {
			p.OnEvidence()
		}
	}

	if !known {
		p.evict(now)
	}

	return true
}

// reportRecentBegins reports the answers that began here between a crash and the report of it.
func (p *Parts) reportRecentBegins(crashedAt time.Time, part PartKey, s *partSuspect) {
	for _, b := range p.recent.after(crashedAt, part) {
		r := PartReport{Part: part, Event: b.event, Begun: true}
		if s.merge(b.at, r) {
			p.send(r)
		}
	}
}

func (p *Parts) send(r PartReport) {
	r.AgeMs = 0
	p.outbox.add(r)
	p.wake.Send()
}

// evict removes suspects that are over, and those with the fewest and oldest crashes if there are
// too many.
func (p *Parts) evict(now time.Time) {
	if len(p.suspects) <= maxPartSuspects {
		return
	}

	maps.DeleteFunc(p.suspects, func(_ PartKey, s *partSuspect) bool { return now.Sub(s.lastCrash) > holdDuration })

	if len(p.suspects) <= maxPartSuspects {
		return
	}

	order := slices.SortedFunc(maps.Keys(p.suspects), func(a, b PartKey) int {
		x, y := p.suspects[a], p.suspects[b]

		return cmp.Or(cmp.Compare(x.crashes, y.crashes), x.lastCrash.Compare(y.lastCrash), cmp.Compare(a, b))
	})

	for _, part := range order[:len(order)/evictionDivisor] {
		delete(p.suspects, part)
	}
}
