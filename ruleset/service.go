package ruleset

import (
	"time"

	"monsoonlever/fleet"
)

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name fleet.Service
	// MaxConnections is how many connections a backend server accepts from all
	// entry instances together; zero is not known.
	MaxConnections int
	// Engine is set for services of model engines.
	Engine *Engine
	// Scaling is set where the number of backend servers may be ordered.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the memory for prompts and answers.
	CacheTokens int
}

// Scaling bounds the orders for backend servers in each failure domain.
type Scaling struct {
	Min, Max int
	// Boot is the time from an order to the first request.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a part of the
	// price of the others.
	ReclaimablePrice float64
	// Prices is the price of a server by failure domain.
	Prices map[fleet.FailureDomain]float64
}
