package placement

import (
	"cmp"
	"math"
	"slices"

	"monsoonlever/fleet"
)

// layout is a number of instances in each option, judged against a demand.
type layout struct {
	options []option
	shares  []float64
	counts  []int
	// places is the index of each option's failure domain.
	places  []int
	urgent  float64
	minimum int
	maximum int
}

// totalStep is the step between the totals that are tried for the ideal layout,
// as a share of the demand.
const totalStep = 0.04

// enough absorbs rounding in sums of shares.
const enough = 1e-9

// newLayout starts from what the service has.
func newLayout(options []option, service Service, demand Load, have map[Cell]int, surge int) *layout {
	l := &layout{
		options: options,
		counts:  make([]int, len(options)),
		urgent:  service.UrgentShare,
		minimum: service.Min + surge,
		maximum: max(service.Max, service.Min+surge),
	}

	for i, o := range options {
		l.shares = append(l.shares, o.capacity.share(demand))
		l.counts[i] = have[o.cell]
		l.places = append(l.places, slices.IndexFunc(options, func(other option) bool {
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
		sum += float64(n) * l.options[i].weighed
	}

	return sum
}

// carried is the share of the demand that all instances carry, and left is what
// remains after the loss of the worst failure domain, which is returned too.
func (l *layout) carried() (all, left float64, worst fleet.FailureDomain) {
	greatest := 0.0

	for i, place := range l.places {
		all += float64(l.counts[i]) * l.shares[i]

		// The first option of a failure domain stands for all of it.
		if place != i {
			continue
		}

		if share := l.domainShare(place); share > greatest {
			greatest, worst = share, l.options[i].cell.Domain
		}
	}

	return all, all - greatest, worst
}

func (l *layout) domainShare(place int) float64 {
	share := 0.0

	for i, other := range l.places {
		if other == place {
			share += float64(l.counts[i]) * l.shares[i]
		}
	}

	return share
}

// covers tells whether the demand is carried now, and its urgent share after the
// loss of any one failure domain. A service of two instances or more is never
// held in one failure domain alone.
func (l *layout) covers() bool {
	all, left, _ := l.carried()
	if l.total() < l.minimum || all < 1-enough || left < l.urgent-enough {
		return false
	}

	return l.minimum < 2 || left > 0
}

// grow adds the cheapest instances until the demand is covered.
func (l *layout) grow() {
	for !l.covers() && l.total() < l.maximum {
		all, _, worst := l.carried()
		spread := all >= 1-enough && l.total() >= l.minimum

		i := l.cheapest(worst, spread)
		if i < 0 {
			return
		}

		l.counts[i]++
	}
}

// grown returns the cheaper of two ways to cover the demand without giving
// anything up: the next cheapest instances, or those of the ideal layout.
func (l *layout) grown() *layout {
	greedy := l.copied(l.counts)
	greedy.grow()

	best := l.ideal()
	if l.covers() || best == nil {
		return greedy
	}

	for i, n := range l.counts {
		best.counts[i] = max(best.counts[i], n)
	}

	best.shrinkTo(l.counts)

	if !best.covers() || best.total() > l.maximum || greedy.covers() && greedy.price() <= best.price() {
		return greedy
	}

	return best
}

// cheapest returns the option with the least price for what it carries, outside
// the worst failure domain if only the loss of that one is uncovered. Avoided
// options are taken only where there is no other.
func (l *layout) cheapest(worst fleet.FailureDomain, spread bool) int {
	best := -1

	for i, o := range l.options {
		if spread && o.cell.Domain == worst {
			continue
		}

		if best < 0 || l.better(i, best) {
			best = i
		}
	}

	return best
}

func (l *layout) better(i, j int) bool {
	a, b := l.options[i], l.options[j]
	if a.avoided != b.avoided {
		return !a.avoided
	}

	priceA, priceB := a.weighed/l.shares[i], b.weighed/l.shares[j]
	if priceA != priceB {
		return priceA < priceB
	}

	return l.counts[i] < l.counts[j]
}

// shrink removes the dearest instances that the demand does not need.
func (l *layout) shrink() {
	l.shrinkTo(make([]int, len(l.counts)))
}

// shrinkTo does the same, but leaves each option at least its floor.
func (l *layout) shrinkTo(floors []int) {
	order := make([]int, len(l.options))
	for i := range order {
		order[i] = i
	}

	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(l.options[j].weighed/l.shares[j], l.options[i].weighed/l.shares[i])
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

// ideal returns the cheapest layout for the demand without regard to what there
// is. It tries each bound on what one failure domain may carry: for a total T
// no domain may carry more than T less the urgent share.
func (l *layout) ideal() *layout {
	order := l.byPrice()

	var best *layout

	for total := max(1, l.urgent); total <= 1+max(1, l.urgent); total += totalStep {
		candidate := l.fill(order, total)
		if candidate == nil {
			continue
		}

		if best == nil || candidate.price() < best.price() {
			best = candidate
		}
	}

	return best
}

func (l *layout) fill(order []int, total float64) *layout {
	candidate := l.copied(make([]int, len(l.counts)))
	bound := total - l.urgent
	domains := make(map[fleet.FailureDomain]float64)
	sum := 0.0

	for _, i := range order {
		domain := l.options[i].cell.Domain
		room := min(bound-domains[domain], total-sum)
		n := int(math.Floor(room/l.shares[i] + enough))

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

func (l *layout) copied(counts []int) *layout {
	result := *l
	result.counts = slices.Clone(counts)

	return &result
}

func (l *layout) byPrice() []int {
	var order []int

	for i, o := range l.options {
		if !o.avoided {
			order = append(order, i)
		}
	}

	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(l.options[i].weighed/l.shares[i], l.options[j].weighed/l.shares[j])
	})

	return order
}
