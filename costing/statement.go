package costing

import (
	"cmp"
	"slices"

	"monsoonlever/fleet"
)

// Statement adds up calls and money. It is not safe for concurrent use: each
// entry instance keeps its own and Merge puts them together.
type Statement struct {
	entries map[Key]Entry
	// unshared is money of a service that had no work to share it by yet.
	unshared map[fleet.Service]float64
	// window is the work of a service and key since the last Charge.
	window map[Key]float64
}

// NewStatement returns an empty statement.
func NewStatement() *Statement {
	return &Statement{
		entries:  make(map[Key]Entry),
		unshared: make(map[fleet.Service]float64),
		window:   make(map[Key]float64),
	}
}

// Call counts one call with its work, and whether it met its latency target.
func (s *Statement) Call(key Key, work float64, withinTarget bool) {
	e := s.entries[key]
	e.Calls++
	e.Work += work

	if withinTarget {
		e.WithinTarget++
	}

	s.entries[key] = e
	s.window[key] += work
}

// Charge shares money that a service cost among the accounts by their work since
// the last charge. Without any work it is kept for the next charge.
func (s *Statement) Charge(service fleet.Service, money float64) {
	money += s.unshared[service]
	s.unshared[service] = 0
	total := 0.0

	for key, work := range s.window {
		if key.Service == service {
			total += work
		}
	}

	if total == 0 {
		s.unshared[service] = money

		return
	}

	for key, work := range s.window {
		if key.Service != service {
			continue
		}

		e := s.entries[key]
		e.Money += money * work / total
		s.entries[key] = e

		delete(s.window, key)
	}
}

// Merge adds the entries of another statement.
func (s *Statement) Merge(other *Statement) {
	for key, o := range other.entries {
		e := s.entries[key]
		e.Calls += o.Calls
		e.WithinTarget += o.WithinTarget
		e.Work += o.Work
		e.Money += o.Money
		s.entries[key] = e
		s.window[key] += other.window[key]
	}

	for service, money := range other.unshared {
		s.unshared[service] += money
	}
}

// Entry returns the entry of a key.
func (s *Statement) Entry(key Key) Entry {
	return s.entries[key]
}

// Unshared returns the money of a service that no call has used yet.
func (s *Statement) Unshared(service fleet.Service) float64 {
	return s.unshared[service]
}

// Keys returns the keys by service and account.
func (s *Statement) Keys() []Key {
	keys := make([]Key, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}

	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})

	return keys
}
