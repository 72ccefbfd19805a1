package directory

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/topology"
)

const (
	// reportTimeout is how long a relay without a new report remains a relay. It allows for
	// lost reports and for the restart of an instance.
	reportTimeout = 6 * time.Second
	// maxCountDrift is the relative change of the number of instances up to which no new record
	// is written.
	maxCountDrift = 0.1
)

// Report is a relay's report of its subscribers.
type Report struct {
	Relay topology.Member
	// Sizes is the number of instances in the relay's group, the relay included, by failure
	// domain.
	Sizes map[fleet.FailureDomain]int
	// Candidates are the relay's subscribers that are preferred as new relays; there may be
	// others.
	Candidates []topology.Member
}

// Planner decides which instances are relays. The zero value has no reports; it is safe for
// concurrent use.
type Planner struct {
	mu        sync.Mutex
	startedAt time.Time
	reports   map[fleet.InstanceID]timedReport
}

// timedReport is a report with the time at which it was received.
type timedReport struct {
	Report

	at time.Time
}

// AddReport records the report of a relay. It replaces the relay's earlier report.
func (p *Planner) AddReport(now time.Time, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.reports == nil {
		p.reports = make(map[fleet.InstanceID]timedReport)
	}

	p.reports[r.Relay.ID] = timedReport{Report: r, at: now}
}

// Reset discards all reports, after a time in which this instance received none.
func (p *Planner) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.startedAt, p.reports = time.Time{}, nil
}

// Next returns the directory that should follow the current one, and whether the two differ
// enough to write it.
func (p *Planner) Next(now time.Time, current *Directory) (*Directory, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.startedAt.IsZero() {
		p.startedAt = now
	}

	for id, r := range p.reports {
		// Subscribers of an instance that is no longer a relay are in the groups of other relays.
		if now.Sub(r.at) > reportTimeout || !current.HasRelay(id) {
			delete(p.reports, id)
		}
	}

	sizes, count := p.sizes()
	if now.Sub(p.startedAt) < reportTimeout {
		// Some relays may not have reported yet.
		count = max(count, current.Count)
	}

	next := &Directory{Count: count}

	if count > topology.FullMeshMax {
		next.Relays = p.chooseRelays(p.retainedRelays(now, current), sizes)
	}

	return next, differsEnough(current, next)
}

// sizes returns the number of instances in each failure domain and in total.
func (p *Planner) sizes() (map[fleet.FailureDomain]int, int) {
	sizes := make(map[fleet.FailureDomain]int)
	count := 0

	for _, r := range p.reports {
		for domain, n := range r.Sizes {
			sizes[domain] += n
			count += n
		}
	}

	return sizes, count
}

// retainedRelays returns the current relays that have reported. Until reportTimeout has passed
// since the first call of Next it returns all current relays.
func (p *Planner) retainedRelays(now time.Time, current *Directory) []topology.Member {
	var retained []topology.Member

	for _, m := range current.Relays {
		if _, ok := p.reports[m.ID]; ok || now.Sub(p.startedAt) < reportTimeout {
			retained = append(retained, m)
		}
	}

	return retained
}

// chooseRelays fills up the relays of each failure domain with candidates and replaces smaller
// instances by larger ones.
func (p *Planner) chooseRelays(relays []topology.Member, sizes map[fleet.FailureDomain]int) []topology.Member {
	candidates := p.candidates(relays)
	chosen := slices.Clone(relays)

	for domain, size := range sizes {
		chosen = fillDomain(chosen, candidates[domain], domain, topology.TargetRelays(size, len(sizes)))
	}

	return topology.Rank(chosen)
}

// candidates returns the reported candidates that are no relays yet, by failure domain and in
// rank order.
func (p *Planner) candidates(relays []topology.Member) map[fleet.FailureDomain][]topology.Member {
	seen := make(map[fleet.InstanceID]bool, len(relays))
	for _, m := range relays {
		seen[m.ID] = true
	}

	var all []topology.Member

	for _, r := range p.reports {
		for _, m := range r.Candidates {
			if !seen[m.ID] {
				seen[m.ID] = true
				all = append(all, m)
			}
		}
	}

	candidates := make(map[fleet.FailureDomain][]topology.Member)
	for _, m := range topology.Rank(all) {
		candidates[m.Domain] = append(candidates[m.Domain], m)
	}

	return candidates
}

// fillDomain adds candidates of one failure domain to relays until the domain has the wanted
// number of relays, and replaces the domain's smallest relays by larger candidates.
func fillDomain(relays, candidates []topology.Member, domain fleet.FailureDomain, wanted int) []topology.Member {
	var own, others []topology.Member

	for _, m := range relays {
		if m.Domain == domain {
			own = append(own, m)
		} else {
			others = append(others, m)
		}
	}

	missing := min(max(wanted-len(own), 0), len(candidates))
	own = append(own, candidates[:missing]...)

	slices.SortStableFunc(own, func(a, b topology.Member) int { return cmp.Compare(b.Cores, a.Cores) })

	for i, m := range candidates[missing:] {
		smallest := len(own) - 1 - i
		if smallest < 0 || m.Cores <= own[smallest].Cores {
			break
		}

		own[smallest] = m
	}

	return append(others, own...)
}

// differsEnough reports whether directory b is worth a new record after a: it has other relays or
// another mode, or its count differs by more than maxCountDrift.
func differsEnough(a, b *Directory) bool {
	if a.Forming != b.Forming || a.FullMesh() != b.FullMesh() || math.Abs(float64(a.Count-b.Count)) > maxCountDrift*float64(a.Count) {
		return true
	}

	if len(a.Relays) != len(b.Relays) {
		return true
	}

	return slices.ContainsFunc(b.Relays, func(m topology.Member) bool { return !slices.Contains(a.Relays, m) })
}
