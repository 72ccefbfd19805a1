package admission

import (
	"math"
	"time"
)

// member is the state of another entry instance, as known here.
type member struct {
	joinedAt time.Time
	// lastSeen is when the newest digest was received, or when the member was added.
	lastSeen time.Time
	digest   Demand
	// hasDigest is set when the first digest is received.
	hasDigest bool
}

const (
	// initialWeight is the weight of every account in an instance's first digest.
	initialWeight = 1.0 / 128
	// maxWeightGrowth is the largest factor by which an instance raises a weight over the
	// lowest that it published within the window.
	maxWeightGrowth = 4.0
)

// growthFactor returns the largest factor by which weights may have grown since a digest of the
// given age.
func growthFactor(age, propagationDelay time.Duration) float64 {
	steps := math.Ceil(float64(age)/float64(propagationDelay)) - 1

	return math.Pow(maxWeightGrowth, max(steps, 0))
}

// maxFloor returns the largest weight that the member may use for an account that its digest does
// not list, and the factor by which the listed weights may have grown.
func (m *member) maxFloor(now time.Time, propagationDelay time.Duration) (weight, growth float64) {
	if !m.hasDigest {
		// One step is added, since the member may have started up to one delay before it was
		// known here.
		return initialWeight * growthFactor(now.Sub(m.joinedAt)+propagationDelay, propagationDelay), 1
	}

	growth = growthFactor(now.Sub(time.UnixMilli(m.digest.At)), propagationDelay)

	return float64(m.digest.Floor) * growth, growth
}
