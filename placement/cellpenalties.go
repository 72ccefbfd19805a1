package placement

import (
	"math"
	"time"
)

// CellPenalties records the cells in which a purchase was refused or an
// instance was reclaimed. The weight of a cell decays exponentially.
type CellPenalties struct {
	// HalfLife is the time in which a penalty loses half its weight.
	HalfLife time.Duration

	penalties map[Cell]penalty
}

type penalty struct {
	at     time.Time
	weight float64
}

// maxWeight bounds the weight, and so the decay time, of repeated penalties.
const maxWeight = 4

// Add adds a penalty of weight 1 to a cell.
func (m *CellPenalties) Add(now time.Time, cell Cell) {
	if m.penalties == nil {
		m.penalties = make(map[Cell]penalty)
	}

	m.penalties[cell] = penalty{at: now, weight: min(m.Weight(now, cell)+1, maxWeight)}
}

// Weight returns the weight of a cell at now: 0 without a penalty.
func (m *CellPenalties) Weight(now time.Time, cell Cell) float64 {
	if m == nil {
		return 0
	}

	last, ok := m.penalties[cell]
	if !ok {
		return 0
	}

	halves := now.Sub(last.at).Seconds() / m.HalfLife.Seconds()

	return last.weight * math.Exp2(-halves)
}

// LastAdded returns when a cell last got a penalty, and whether it has one.
func (m *CellPenalties) LastAdded(cell Cell) (time.Time, bool) {
	if m == nil {
		return time.Time{}, false
	}

	last, ok := m.penalties[cell]

	return last.at, ok
}

// Clear removes the penalty of a cell, as after a successful purchase.
func (m *CellPenalties) Clear(cell Cell) {
	delete(m.penalties, cell)
}
