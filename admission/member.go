package admission

import (
	"math"
	"time"
)

// member is what is known of another entry instance.
type member struct {
	joined time.Time
	// heard is when the newest digest was received, or when the member joined.
	heard  time.Time
	digest Demand
	// told is set once there is a digest.
	told bool
}

const (
	// firstWeight is the weight of every account in an instance's first digest.
	firstWeight = 1.0 / 128
	// maxGrowth is how much a weight may grow over what was published in the
	// last Spread.
	maxGrowth = 4.0
)

// growth returns how much the weights of a digest of the given age may have
// grown until now.
func growth(age, spread time.Duration) float64 {
	steps := math.Ceil(float64(age)/float64(spread)) - 1

	return math.Pow(maxGrowth, max(steps, 0))
}

// floor returns the greatest weight the member may use for an account that
// its digest does not list, and the growth to apply to those it lists.
func (m *member) floor(now time.Time, spread time.Duration) (weight, grown float64) {
	if !m.told {
		// One step more: it may have started a Spread before it was known here.
		return firstWeight * growth(now.Sub(m.joined)+spread, spread), 1
	}

	grown = growth(now.Sub(time.UnixMilli(m.digest.At)), spread)

	return float64(m.digest.Floor) * grown, grown
}
