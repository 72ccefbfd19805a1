package placement

import (
	"math"
	"time"
)

// CellPenalties remembers in which cells a purchase was refused or an instance was
// reclaimed. What it remembers loses half its weight every half-life.
type CellPenalties struct {
	// HalfLife is the time in which a mark loses half its weight.
	HalfLife time.Duration

	penalties map[Cell]penalty
}

type penalty struct {
	at     time.Time
	weight float64
}

// maxWeight bounds how long many marks in a row are remembered.
const maxWeight = 4

// Add marks a cell.
func (m *CellPenalties) Add(now time.Time, cell Cell) {
	if m.penalties == nil {
		m.penalties = make(map[Cell]penalty)
	}

	m.penalties[cell] = penalty{at: now, weight: min(m.Weight(now, cell)+1, maxWeight)}
}

// Weight returns the weight of a cell at now: 0 where nothing is remembered.
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

// LastAdded returns when a cell was last marked.
func (m *CellPenalties) LastAdded(cell Cell) (time.Time, bool) {
	if m == nil {
		return time.Time{}, false
	}

	last, ok := m.penalties[cell]

	return last.at, ok
}

// Clear drops the mark of a cell, as after a purchase that went through.
func (m *CellPenalties) Clear(cell Cell) {
	delete(m.penalties, cell)
}
