package ruleset

import (
	"time"

	"monsoonlever/fleet"
)

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name fleet.Service
	// MaxConnections is the number of connections that a backend server accepts
	// from all entry instances together; zero means unknown.
	MaxConnections int
	// HealthPath is the path at which backend servers tell that they are healthy; it may be empty.
	HealthPath string
	// Engine is set for services of model engines.
	Engine *Engine
	// Scaling is set if the number of backend servers can be changed by orders.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the memory for prompts and responses, in tokens.
	CacheTokens int
}

// Scaling bounds the orders for backend servers in each failure domain.
type Scaling struct {
	Min, Max int
	// Boot is the time from an order until the backend server can take requests.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable backend server as a fraction
	// of the price of a server that is not reclaimable.
	ReclaimablePrice float64
	// Prices are the prices of a backend server by failure domain.
	Prices map[fleet.FailureDomain]float64
}
