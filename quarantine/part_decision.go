package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCost is the evidence that it takes to name a part harmful, and begins in its span cost
	// more. maxExcessCost is how much more the parts of another explanation may cost while it is
	// not ruled out: that of three parts instead of one.
	partCost      = minEvidence
	maxExcessCost = 2 * partCost
	// maxFirstParts bounds the explanations that are compared.
	maxFirstParts = 16
)

// heldGroup is a group of parts that requests have to hold all of to be held off.
type heldGroup struct {
	parts []PartKey
	// crashes are those that the group explains.
	crashes []uint64
}

// decision finds the parts that explain the crashes.
type decision struct {
	suspects map[PartKey]*partSuspect
	// candidates are the parts with enough evidence by themselves.
	candidates []candidate
	// byCrash has the suspects that stood at each crash.
	byCrash   map[uint64][]PartKey
	explained map[uint64]bool
	// reduced are the spans of parts some of whose crashes are explained.
	reduced map[PartKey]evidenceSpan
	groups  []heldGroup
}

type candidate struct {
	part PartKey
	span evidenceSpan
}

// decide determines the parts that are held off: the one for which there is most evidence, then
// the next one for the crashes that the first does not explain, and so on.
//
// A part that many requests have in common stands at the crashes of several harmful ones, and may
// have most evidence. While other parts explain its crashes about as well, it is held off only in
// requests with one of them, so that others go on and tell the explanations apart.
func (p *Parts) decide(now time.Time) {
	d := newDecision(p.suspects, now)

	for len(d.candidates) > 0 {
		group, span := d.strongest()
		d.hold(group, span)
		d.explain(span.crashes)
	}

	p.publish(d.groups)
}

func newDecision(suspects map[PartKey]*partSuspect, now time.Time) *decision {
	d := &decision{suspects: suspects}

	for part, s := range suspects {
		if s.isCurrent(now) && s.whole().conclusive() {
			d.candidates = append(d.candidates, candidate{part: part, span: s.whole()})
		}
	}

	if len(d.candidates) == 0 {
		return d
	}

	slices.SortFunc(d.candidates, func(a, b candidate) int { return cmp.Compare(a.part, b.part) })

	d.byCrash, d.explained, d.reduced = make(map[uint64][]PartKey), make(map[uint64]bool), make(map[PartKey]evidenceSpan)

	for part, s := range suspects {
		if !s.isCurrent(now) {
			continue
		}

		for _, e := range s.events {
			if !e.begun {
				d.byCrash[e.id] = append(d.byCrash[e.id], part)
			}
		}
	}

	return d
}

// span returns the evidence of the crashes of a part that are not explained.
func (d *decision) span(part PartKey) evidenceSpan {
	if span, ok := d.reduced[part]; ok {
		return span
	}

	return d.suspects[part].whole()
}

// explain takes crashes out of the evidence of all parts.
func (d *decision) explain(crashes []uint64) {
	affected := make(map[PartKey]struct{})

	for _, event := range crashes {
		d.explained[event] = true

		for _, part := range d.byCrash[event] {
			affected[part] = struct{}{}
		}
	}

	for part := range affected {
		d.reduced[part] = d.suspects[part].span(d.explained)
	}

	left := d.candidates[:0]

	for _, c := range d.candidates {
		if _, ok := affected[c.part]; ok {
			c.span = d.reduced[c.part]
		}

		if c.span.conclusive() {
			left = append(left, c)
		}
	}

	d.candidates = left
}

// strongest returns the candidates for which there is most evidence. Several have the same evidence
// only if they stood at the same crashes.
func (d *decision) strongest() ([]PartKey, evidenceSpan) {
	var (
		group []PartKey
		best  evidenceSpan
	)

	for _, c := range d.candidates {
		switch {
		case c.span.evidence > best.evidence:
			best, group = c.span, []PartKey{c.part}
		case c.span.evidence == best.evidence && sameEvents(c.span.crashes, best.crashes):
			group = append(group, c.part)
		}
	}

	return group, best
}

func sameEvents(a, b []uint64) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(event uint64) bool { return !slices.Contains(b, event) })
}

// hold holds a group of parts off, alone or with each of the parts that explain its crashes as well.
func (d *decision) hold(group []PartKey, span evidenceSpan) {
	others := d.otherExplanation(group, span)
	if len(others) == 0 {
		d.groups = append(d.groups, heldGroup{parts: group, crashes: span.crashes})

		return
	}

	for _, other := range others {
		other.parts = append(other.parts, group...)
		d.groups = append(d.groups, other)
	}
}

// otherExplanation returns parts outside the group which explain its crashes and cost little more,
// each with what it explains, or nothing. It is the cheapest one of those that a greedy choice finds
// from each first part: the smallest set would take exponential time.
func (d *decision) otherExplanation(group []PartKey, span evidenceSpan) []heldGroup {
	candidates := d.explainingParts(group, span)

	var best []heldGroup

	least := costOf(span) + maxExcessCost

	for first := range candidates[:min(len(candidates), maxFirstParts)] {
		if others, cost, ok := cover(candidates, first, span.crashes, least); ok && (cost < least || best == nil) {
			best, least = others, cost
		}
	}

	return best
}

// explainingPart is a part outside a group that explains some of its crashes.
type explainingPart struct {
	part    PartKey
	crashes []uint64
	cost    float64
}

// explainingParts returns the parts outside the group that explain crashes of it, those that explain
// most first.
func (d *decision) explainingParts(group []PartKey, span evidenceSpan) []explainingPart {
	var parts []explainingPart

	seen := make(map[PartKey]struct{})

	for _, event := range span.crashes {
		for _, part := range d.byCrash[event] {
			if _, known := seen[part]; known || slices.Contains(group, part) {
				continue
			}

			seen[part] = struct{}{}

			other := d.span(part)
			if common := commonEvents(span.crashes, other.crashes); len(common) > 0 {
				parts = append(parts, explainingPart{part: part, crashes: common, cost: costOf(other)})
			}
		}
	}

	slices.SortFunc(parts, func(a, b explainingPart) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.cost, b.cost), cmp.Compare(a.part, b.part))
	})

	return parts
}

func costOf(span evidenceSpan) float64 { return partCost - beginWeight*float64(span.begins) }

// commonEvents returns the events that are in both, in the order of the first.
func commonEvents(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(event uint64) bool { return !slices.Contains(b, event) })
}

// cover explains crashes by candidates, starting with one of them and going on with the one that
// explains most of what is left. Crashes that none explains cost their weight; too many of them, or
// a cost above the limit, are no explanation.
func cover(candidates []explainingPart, first int, crashes []uint64, maxCost float64) ([]heldGroup, float64, bool) {
	var parts []heldGroup

	left, cost := crashes, 0.0

	for next := first; next >= 0 && cost <= maxCost; next = mostCommon(candidates, left) {
		common := commonEvents(left, candidates[next].crashes)
		parts = append(parts, heldGroup{parts: []PartKey{candidates[next].part}, crashes: common})
		cost += candidates[next].cost
		left = slices.DeleteFunc(slices.Clone(left), func(event uint64) bool { return slices.Contains(common, event) })
	}

	cost += crashWeight * float64(len(left))

	return parts, cost, len(left) < minPartCrashes && cost <= maxCost
}

// mostCommon returns the index of the first candidate that explains most crashes, or -1 if none
// explains any.
func mostCommon(candidates []explainingPart, crashes []uint64) int {
	best, most := -1, 0

	for i, c := range candidates {
		if n := len(commonEvents(crashes, c.crashes)); n > most {
			best, most = i, n
		}
	}

	return best
}

// publish puts the parts that are held off in force.
func (p *Parts) publish(groups []heldGroup) {
	p.groups = groups
	held := make([][]PartKey, 0, len(groups))

	for _, group := range groups {
		held = append(held, group.parts)
	}

	before := p.held.Swap(&held)

	if p.OnHeld == nil {
		return
	}

	for i, group := range held {
		if before == nil || !containsGroup(*before, i, group) {
			p.OnHeld(group)
		}
	}
}

// containsGroup reports whether groups contain one, which is most often at the index.
func containsGroup(groups [][]PartKey, index int, group []PartKey) bool {
	return index < len(groups) && slices.Equal(groups[index], group) ||
		slices.ContainsFunc(groups, func(g []PartKey) bool { return slices.Equal(g, group) })
}
