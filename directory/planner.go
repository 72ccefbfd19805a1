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
	// silentAfter is how long a relay without a report is kept: some reports may be lost, and
	// an instance that is restarted is back by then.
	silentAfter = 6 * time.Second
	// countDrift is the change of the number of instances that is worth a record.
	countDrift = 0.1
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
	mu      sync.Mutex
	began   time.Time
	reports map[fleet.InstanceID]received
}

type received struct {
	Report

	at time.Time
}

// AddReport takes a relay's report in.
func (k *Planner) AddReport(now time.Time, r Report) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.reports == nil {
		k.reports = make(map[fleet.InstanceID]received)
	}

	k.reports[r.Relay.ID] = received{Report: r, at: now}
}

// Reset forgets all reports: this instance did not get any meanwhile.
func (k *Planner) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.began, k.reports = time.Time{}, nil
}

// Next returns the directory that should follow the current one, and whether it says
// anything else.
func (k *Planner) Next(now time.Time, current *Directory) (*Directory, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.began.IsZero() {
		k.began = now
	}

	for id, r := range k.reports {
		// Instances that turned to one that relays no longer are counted elsewhere.
		if now.Sub(r.at) > silentAfter || !current.HasRelay(id) {
			delete(k.reports, id)
		}
	}

	sizes, count := k.sizes()
	if now.Sub(k.began) < silentAfter {
		// Some relays may not have reported yet.
		count = max(count, current.Count)
	}

	next := &Directory{Count: count}

	if count > topology.FullMeshMax {
		next.Relays = k.choose(k.staying(now, current), sizes)
	}

	return next, differs(current, next)
}

// sizes adds up how many instances there are in each failure domain and in all.
func (k *Planner) sizes() (map[fleet.FailureDomain]int, int) {
	sizes := make(map[fleet.FailureDomain]int)
	count := 0

	for _, r := range k.reports {
		for domain, n := range r.Sizes {
			sizes[domain] += n
			count += n
		}
	}

	return sizes, count
}

// staying returns the relays that have reported, or may not have had the time to.
func (k *Planner) staying(now time.Time, current *Directory) []topology.Member {
	var staying []topology.Member

	for _, m := range current.Relays {
		if _, ok := k.reports[m.ID]; ok || now.Sub(k.began) < silentAfter {
			staying = append(staying, m)
		}
	}

	return staying
}

// choose fills up the relays of each failure domain from the candidates, and replaces smaller
// instances by larger ones.
func (k *Planner) choose(relays []topology.Member, sizes map[fleet.FailureDomain]int) []topology.Member {
	candidates := k.candidates(relays)
	chosen := slices.Clone(relays)

	for domain, size := range sizes {
		chosen = fill(chosen, candidates[domain], domain, topology.TargetRelays(size, len(sizes)))
	}

	return topology.Rank(chosen)
}

// candidates returns those that are no relays yet, by failure domain, the first in rank first.
func (k *Planner) candidates(relays []topology.Member) map[fleet.FailureDomain][]topology.Member {
	seen := make(map[fleet.InstanceID]bool, len(relays))
	for _, m := range relays {
		seen[m.ID] = true
	}

	var all []topology.Member

	for _, r := range k.reports {
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

// fill adds candidates of one failure domain to all relays until it has as many as wanted, and
// puts larger candidates in the place of its smallest relays.
func fill(relays, candidates []topology.Member, domain fleet.FailureDomain, wanted int) []topology.Member {
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

// differs reports whether two directories differ by more than a few instances that came or went.
func differs(a, b *Directory) bool {
	if a.Forming != b.Forming || a.FullMesh() != b.FullMesh() || math.Abs(float64(a.Count-b.Count)) > countDrift*float64(a.Count) {
		return true
	}

	if len(a.Relays) != len(b.Relays) {
		return true
	}

	return slices.ContainsFunc(b.Relays, func(m topology.Member) bool { return !slices.Contains(a.Relays, m) })
}
