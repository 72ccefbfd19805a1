package placement

import (
	"cmp"
	"math"
	"slices"

	"monsoonlever/fleet"
)

// layout is a number of instances for each option, evaluated against a demand.
type layout struct {
	options []option
	shares  []float64
	counts  []int
	// domainIndexes maps each option to the index of the first option in its domain.
	domainIndexes []int
	// domainShares is a reused buffer for the shares by failure domain.
	domainShares []float64
	urgentShare  float64
	minimum      int
	maximum      int
}

// totalShareStep is the step between the total capacities that
// cheapestFromScratch tries, as a fraction of the demand.
const totalShareStep = 0.04

// roundingTolerance absorbs rounding in sums of shares.
const roundingTolerance = 1e-9

// newLayout returns a layout with the current instances of the service.
func newLayout(options []option, service Service, demand Load, have map[Cell]int, surge int) *layout {
	l := &layout{
		options:      options,
		counts:       make([]int, len(options)),
		domainShares: make([]float64, len(options)),
		urgentShare:  service.UrgentShare,
		minimum:      service.Min + surge,
		maximum:      max(service.Max, service.Min+surge),
	}

	for i, o := range options {
		l.shares = append(l.shares, o.capacity.share(demand))
		l.counts[i] = have[o.cell]
		l.domainIndexes = append(l.domainIndexes, slices.IndexFunc(options, func(other option) bool {
			return other.cell.Domain == o.cell.Domain
		}))
	}

	return l
}

func (l *layout) total() int {
	sum := 0
	for _, n := range l.counts {
		sum += n
	}

	return sum
}

func (l *layout) price() float64 {
	sum := 0.0
	for i, n := range l.counts {
		sum += float64(n) * l.options[i].riskPrice
	}

	return sum
}

// coverage returns the fraction of the demand that all instances carry, the
// fraction that remains after the loss of the failure domain that carries most,
// and that domain.
func (l *layout) coverage() (all, remaining float64, worst fleet.FailureDomain) {
	clear(l.domainShares)

	for i, place := range l.domainIndexes {
		share := float64(l.counts[i]) * l.shares[i]
		all += share
		l.domainShares[place] += share
	}

	greatest := 0.0

	for place, share := range l.domainShares {
		if share > greatest {
			greatest, worst = share, l.options[place].cell.Domain
		}
	}

	return all, all - greatest, worst
}

// covers reports whether the instances carry the demand, and its urgent share
// after the loss of any one failure domain. A service with a minimum of two or
// more instances must span at least two failure domains.
func (l *layout) covers() bool {
	all, remaining, _ := l.coverage()
	if l.total() < l.minimum || all < 1-roundingTolerance || remaining < l.urgentShare-roundingTolerance {
		return false
	}

	return l.minimum < 2 || remaining > 0
}

// grow adds the cheapest instances until the demand is covered.
func (l *layout) grow() {
	for !l.covers() && l.total() < l.maximum {
		all, _, worst := l.coverage()
		spread := all >= 1-roundingTolerance && l.total() >= l.minimum

		i := l.cheapest(worst, spread)
		if i < 0 {
			return
		}

		l.counts[i]++
	}
}

// cheapestGrowth returns the cheaper of two layouts that cover the demand and
// keep all current instances: one that adds the cheapest instances greedily,
// and one that adds the instances of cheapestFromScratch.
func (l *layout) cheapestGrowth() *layout {
	greedy := l.withCounts(l.counts)
	if l.covers() {
		return greedy
	}

	greedy.grow()

	best := l.cheapestFromScratch()
	if best == nil {
		return greedy
	}

	for i, n := range l.counts {
		best.counts[i] = max(best.counts[i], n)
	}

	best.shrinkToFloors(l.counts)

	if !best.covers() || best.total() > l.maximum || greedy.covers() && greedy.price() <= best.price() {
		return greedy
	}

	return best
}

// cheapest returns the option with the lowest price per carried share. With spread
// set it skips the worst failure domain, because only the loss of that domain is
// uncovered. Avoided options are chosen only if there is no other.
func (l *layout) cheapest(worst fleet.FailureDomain, spread bool) int {
	best := -1

	for i, o := range l.options {
		if spread && o.cell.Domain == worst {
			continue
		}

		if best < 0 || l.isBetter(i, best) {
			best = i
		}
	}

	return best
}

func (l *layout) isBetter(i, j int) bool {
	a, b := l.options[i], l.options[j]
	if a.avoided != b.avoided {
		return !a.avoided
	}

	priceA, priceB := a.riskPrice/l.shares[i], b.riskPrice/l.shares[j]
	if priceA != priceB {
		return priceA < priceB
	}

	return l.counts[i] < l.counts[j]
}

// shrink removes instances that the demand does not need, most expensive first.
func (l *layout) shrink() {
	l.shrinkToFloors(make([]int, len(l.counts)))
}

// shrinkToFloors is shrink with a minimum count for each option.
func (l *layout) shrinkToFloors(floors []int) {
	order := make([]int, len(l.options))
	for i := range order {
		order[i] = i
	}

	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(l.options[j].riskPrice/l.shares[j], l.options[i].riskPrice/l.shares[i])
	})

	for _, i := range order {
		for l.counts[i] > floors[i] {
			l.counts[i]--

			if !l.covers() {
				l.counts[i]++

				break
			}
		}
	}
}

// maxSwaps is the maximum number of instances that one plan moves.
const maxSwaps = 4

// moveToCheaper replaces single instances by cheaper ones in other cells, each
// saving at least the threshold as a fraction of the old price, and returns the
// number of replacements. The demand stays covered after each replacement, so an
// interrupted move causes no shortage.
func (l *layout) moveToCheaper(threshold float64) int {
	swaps := 0

	for swaps < maxSwaps && l.swap(threshold) {
		swaps++
	}

	return swaps
}

// swap makes the replacement with the greatest saving and reports whether there was one.
func (l *layout) swap(threshold float64) bool {
	from, to, best := -1, -1, 0.0

	for i, old := range l.options {
		if l.counts[i] == 0 {
			continue
		}

		for j, o := range l.options {
			saving := old.riskPrice - o.riskPrice
			if o.avoided || saving <= best || saving < threshold*old.riskPrice || !l.coversAfterSwap(i, j) {
				continue
			}

			from, to, best = i, j, saving
		}
	}

	if from < 0 {
		return false
	}

	l.counts[from]--
	l.counts[to]++

	return true
}

func (l *layout) coversAfterSwap(from, to int) bool {
	l.counts[from]--
	l.counts[to]++

	covers := l.covers()

	l.counts[from]++
	l.counts[to]--

	return covers
}

// cheapestFromScratch returns the cheapest layout for the demand, ignoring current
// instances. It tries a range of total capacities: with a total T, no failure
// domain may carry more than T minus the urgent share.
func (l *layout) cheapestFromScratch() *layout {
	order := l.optionsByPrice()

	var best *layout

	for total := max(1, l.urgentShare); total <= 1+max(1, l.urgentShare); total += totalShareStep {
		candidate := l.fillInOrder(order, total)
		if candidate == nil {
			continue
		}

		if best == nil || candidate.price() < best.price() {
			best = candidate
		}
	}

	return best
}

func (l *layout) fillInOrder(order []int, total float64) *layout {
	candidate := l.withCounts(make([]int, len(l.counts)))
	bound := total - l.urgentShare
	domains := make(map[fleet.FailureDomain]float64)
	sum := 0.0

	for _, i := range order {
		domain := l.options[i].cell.Domain
		room := min(bound-domains[domain], total-sum)
		n := int(math.Floor(room/l.shares[i] + roundingTolerance))

		if rest := total - sum - float64(n)*l.shares[i]; rest > 0 && bound-domains[domain] >= float64(n+1)*l.shares[i] {
			n++
		}

		if n <= 0 {
			continue
		}

		candidate.counts[i] = n
		domains[domain] += float64(n) * l.shares[i]
		sum += float64(n) * l.shares[i]
	}

	candidate.grow()
	candidate.shrink()

	if !candidate.covers() || candidate.total() > l.maximum {
		return nil
	}

	return candidate
}

func (l *layout) withCounts(counts []int) *layout {
	result := *l
	result.counts = slices.Clone(counts)

	return &result
}

func (l *layout) optionsByPrice() []int {
	var order []int

	for i, o := range l.options {
		if !o.avoided {
			order = append(order, i)
		}
	}

	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(l.options[i].riskPrice/l.shares[i], l.options[j].riskPrice/l.shares[j])
	})

	return order
}
