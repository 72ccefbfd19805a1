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
	// reportTimeout is how long a relay without a report is kept: some reports may be lost, and
	// an instance that is restarted is back by then.
	reportTimeout = 6 * time.Second
	// maxCountDrift is the change of the number of instances that is worth a record.
	maxCountDrift = 0.1
)

// Report is what one relay says of the instances that turned to it.
type Report struct {
	Relay topology.Member
	// Sizes are how many instances of each failure domain turned to it, itself included.
	Sizes map[fleet.FailureDomain]int
	// Candidates are some of them that would take over a relay's work first.
	Candidates []topology.Member
}

// Planner decides which instances relay. The zero value has no reports; it is safe for
// concurrent use.
type Planner struct {
	mu        sync.Mutex
	startedAt time.Time
	reports   map[fleet.InstanceID]timedReport
}

type timedReport struct {
	Report

	at time.Time
}

// AddReport takes a relay's report in.
func (p *Planner) AddReport(now time.Time, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.reports == nil {
		p.reports = make(map[fleet.InstanceID]timedReport)
	}

	p.reports[r.Relay.ID] = timedReport{Report: r, at: now}
}

// Reset forgets all reports: this instance did not get any meanwhile.
func (p *Planner) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.startedAt, p.reports = time.Time{}, nil
}

// Next returns the directory that should follow the current one, and whether it says
// anything else.
func (p *Planner) Next(now time.Time, current *Directory) (*Directory, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.startedAt.IsZero() {
		p.startedAt = now
	}

	for id, r := range p.reports {
		// Instances that turned to one that relays no longer are counted elsewhere.
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

// sizes adds up how many instances there are in each failure domain and in all.
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

// retainedRelays returns the relays that have reported, or may not have had the time to.
func (p *Planner) retainedRelays(now time.Time, current *Directory) []topology.Member {
	var staying []topology.Member

	for _, m := range current.Relays {
		if _, ok := p.reports[m.ID]; ok || now.Sub(p.startedAt) < reportTimeout {
			staying = append(staying, m)
		}
	}

	return staying
}

// chooseRelays fills up the relays of each failure domain from the candidates, and replaces smaller
// instances by larger ones.
func (p *Planner) chooseRelays(relays []topology.Member, sizes map[fleet.FailureDomain]int) []topology.Member {
	candidates := p.candidates(relays)
	chosen := slices.Clone(relays)

	for domain, size := range sizes {
		chosen = fillDomain(chosen, candidates[domain], domain, topology.TargetRelays(size, len(sizes)))
	}

	return topology.Rank(chosen)
}

// candidates returns those that are no relays yet, by failure domain, the first in rank first.
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

// fillDomain adds candidates of one failure domain to all relays until it has as many as wanted, and
// puts larger candidates in the place of its smallest relays.
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

// differsEnough reports whether two directories differ by more than a few instances that came or went.
func differsEnough(a, b *Directory) bool {
	if a.Forming != b.Forming || a.FullMesh() != b.FullMesh() || math.Abs(float64(a.Count-b.Count)) > maxCountDrift*float64(a.Count) {
		return true
	}

	if len(a.Relays) != len(b.Relays) {
		return true
	}

	return slices.ContainsFunc(b.Relays, func(m topology.Member) bool { return !slices.Contains(a.Relays, m) })
}
