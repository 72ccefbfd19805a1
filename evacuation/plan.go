package evacuation

import (
	"cmp"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Planner plans exports from a policy and the current wave of reclaims.
type Planner struct {
	Policy Policy
	Wave   *Wave

	// order overrides costliestFirst in tests that compare strategies.
	order func(a, b Stream) int
}

// Plan returns the exports from a leaving server in the order in which they run.
// It omits a stream if no target has room for its cache or if its export would
// not finish by the time of the reclaim less the margin.
func (p Planner) Plan(now time.Time, n Notice, streams []Stream, targets []Target) []Export {
	ordered := slices.Clone(streams)

	if p.order == nil {
		slices.SortFunc(ordered, p.costliestFirst)
	} else {
		slices.SortStableFunc(ordered, p.order)
	}

	left := p.lowestRiskFirst(now, n, targets)
	end := n.At.Add(-p.Policy.Margin)
	at := now

	var plan []Export

	for _, s := range ordered {
		done := at.Add(p.Policy.duration(s))
		if done.After(end) {
			continue
		}

		i := slices.IndexFunc(left, func(t Target) bool { return t.Model == s.Model && t.Room >= s.Tokens })
		if i < 0 {
			continue
		}

		left[i].Room -= s.Tokens
		plan = append(plan, Export{Attempt: s.Attempt, Target: left[i].Server, Start: at, Done: done})
		at = done
	}

	return plan
}

func (p Planner) costliestFirst(a, b Stream) int {
	return cmp.Or(
		cmp.Compare(p.Policy.weightedCost(b), p.Policy.weightedCost(a)),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// lowestRiskFirst orders the targets by the risk of their failure domain, then by
// their room. It omits the leaving server's own domain, which is assumed to be
// reclaimed as a whole.
func (p Planner) lowestRiskFirst(now time.Time, n Notice, targets []Target) []Target {
	out := make([]Target, 0, len(targets))
	risk := make(map[fleet.FailureDomain]float64)

	for _, t := range targets {
		if t.Domain == n.Domain || t.Server == n.Server {
			continue
		}

		out = append(out, t)
		risk[t.Domain] = p.risk(now, t.Domain)
	}

	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(risk[a.Domain], risk[b.Domain]),
			cmp.Compare(b.Room, a.Room),
			cmp.Compare(a.Server, b.Server),
		)
	})

	return out
}

func (p Planner) risk(now time.Time, d fleet.FailureDomain) float64 {
	if p.Wave == nil {
		return 0
	}

	return p.Wave.Risk(now, d)
}
