package placement

import "time"

// Config holds the settings of the planner.
type Config struct {
	// MoveThreshold is the saving, as a fraction of the current price, at or
	// above which an instance is moved to a cheaper cell.
	MoveThreshold float64
	// RiskPremium is added to the price of a reclaimable instance, as a
	// fraction, to cover the work lost when it is reclaimed.
	RiskPremium float64
	// AvoidDuration is how long a cell is avoided after one refused purchase. After
	// several in a row it is avoided for up to twice as long.
	AvoidDuration time.Duration
}

// DefaultChangesPerHour is the default limit per hour on voluntary retirements,
// and separately on purchases made only to save money.
const DefaultChangesPerHour = 8

// DefaultConfig returns settings for a deployment of a few dozen instances.
func DefaultConfig() Config {
	return Config{
		MoveThreshold: 0.1,
		RiskPremium:   0.05,
		AvoidDuration: 20 * time.Minute,
	}
}

// NewCellPenalties returns penalties whose weight halves twice in AvoidDuration, so
// that a single refusal excludes its cell for AvoidDuration.
func (c Config) NewCellPenalties() *CellPenalties {
	return &CellPenalties{HalfLife: c.AvoidDuration / 2}
}
