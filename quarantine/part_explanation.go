package quarantine

import (
	"cmp"
	"slices"
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
