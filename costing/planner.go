package costing

import (
	"time"

	"monsoonlever/placement"
	"monsoonlever/provider"
)

// View is what a planner sees at one minute.
type View struct {
	Now      time.Time
	Minute   int
	Day      *ServiceDay
	Load     placement.Load
	Have     map[placement.Cell]int
	Offers   []provider.Offer
	Refusals *placement.CellPenalties
	Reclaims *placement.CellPenalties
}

// Planner decides what to hold from what it sees.
type Planner interface {
	// Name is as the table shows it.
	Name() string
	Plan(v View) placement.Decision
	// Moves bounds the instances an hour that are given up or moved without need.
	Moves() int
}
