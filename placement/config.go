package placement

import "time"

// Config holds the settings of the planner.
type Config struct {
	// MoveThreshold is the saving, as a share of the present price, from which
	// on instances are moved to cheaper cells.
	MoveThreshold float64
	// RiskPremium is added to the price of a reclaimable instance, as a share,
	// for the work that its reclaim costs.
	RiskPremium float64
	// AvoidDuration is how long a cell is avoided after one refused purchase. After
	// more in a row it is avoided up to twice as long.
	AvoidDuration time.Duration
}

// DefaultChangesPerHour is how many instances are given up, and how many are
// bought to save money, in an hour.
const DefaultChangesPerHour = 8

// DefaultConfig returns settings that suit a deployment of some dozens of
// instances.
func DefaultConfig() Config {
	return Config{
		MoveThreshold: 0.1,
		RiskPremium:   0.05,
		AvoidDuration: 20 * time.Minute,
	}
}

// NewCellPenalties returns a memory that forgets one mark after AvoidFor.
func (c Config) NewCellPenalties() *CellPenalties {
	return &CellPenalties{HalfLife: c.AvoidDuration / 2}
}
