package admission

import (
	"math"
	"time"
)

// member is what is known of another entry instance.
type member struct {
	joinedAt time.Time
	// lastSeen is when the newest digest was received, or when the member joined.
	lastSeen time.Time
	digest   Demand
	// hasDigest is set once there is a digest.
	hasDigest bool
}

const (
	// initialWeight is the weight of every account in an instance's first digest.
	initialWeight = 1.0 / 128
	// maxWeightGrowth is how much a weight may grow over what was published in the
	// last Spread.
	maxWeightGrowth = 4.0
)

// growthFactor returns how much the weights of a digest of the given age may have
// grown until now.
func growthFactor(age, spread time.Duration) float64 {
	steps := math.Ceil(float64(age)/float64(spread)) - 1

	return math.Pow(maxWeightGrowth, max(steps, 0))
}

// maxFloor returns the greatest weight the member may use for an account that
// its digest does not list, and the growth to apply to those it lists.
func (m *member) maxFloor(now time.Time, spread time.Duration) (weight, growth float64) {
	if !m.hasDigest {
		// One step more: it may have started a Spread before it was known here.
		return initialWeight * growthFactor(now.Sub(m.joinedAt)+spread, spread), 1
	}

	growth = growthFactor(now.Sub(time.UnixMilli(m.digest.At)), spread)

	return float64(m.digest.Floor) * growth, growth
}
