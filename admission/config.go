package admission

import (
	"time"

	"monsoonlever/fleet"
)

// Config holds the limits in force. It is derived from a manifest.
type Config struct {
	Services []ServiceConfig `json:"services"`
	Accounts []AccountConfig `json:"accounts"`
}

// ServiceConfig limits the requests that one entry instance runs and queues for a service.
type ServiceConfig struct {
	Service fleet.Service `json:"service"`
	// MinConcurrent and MaxConcurrent bound the adaptive concurrency limit; StartConcurrent is
	// its initial value.
	MinConcurrent   int `json:"minConcurrent"`
	MaxConcurrent   int `json:"maxConcurrent"`
	StartConcurrent int `json:"startConcurrent"`
	// QueueRequests and QueueBytes bound the queue.
	QueueRequests int          `json:"queueRequests"`
	QueueBytes    int64        `json:"queueBytes"`
	Kinds         []KindConfig `json:"kinds"`
}

// KindConfig is the latency target of one kind of call.
type KindConfig struct {
	Kind   fleet.CallKind `json:"kind"`
	Target time.Duration  `json:"target"`
}

// AccountConfig holds the limits of a client account across all entry instances. A limit of zero
// means no limit.
type AccountConfig struct {
	Account           fleet.Account `json:"account"`
	RequestsPerSecond float64       `json:"requestsPerSecond"`
	TokensPerSecond   float64       `json:"tokensPerSecond"`
	Concurrent        int           `json:"concurrent"`
	// Weight is the account's weight in fair queueing; zero means 1.
	Weight float64 `json:"weight"`
}

const (
	defaultMinConcurrent   = 1
	defaultMaxConcurrent   = 1024
	defaultStartConcurrent = 16
	defaultQueueRequests   = 256
	defaultQueueBytes      = 64 << 20
)

func (s ServiceConfig) withDefaults() ServiceConfig {
	if s.MinConcurrent <= 0 {
		s.MinConcurrent = defaultMinConcurrent
	}

	if s.MaxConcurrent <= 0 {
		s.MaxConcurrent = defaultMaxConcurrent
	}

	if s.StartConcurrent <= 0 {
		s.StartConcurrent = defaultStartConcurrent
	}

	if s.QueueRequests <= 0 {
		s.QueueRequests = defaultQueueRequests
	}

	if s.QueueBytes <= 0 {
		s.QueueBytes = defaultQueueBytes
	}

	s.MaxConcurrent = max(s.MaxConcurrent, s.MinConcurrent)
	s.StartConcurrent = min(max(s.StartConcurrent, s.MinConcurrent), s.MaxConcurrent)

	return s
}

func (a AccountConfig) withDefaults() AccountConfig {
	if a.Weight <= 0 {
		a.Weight = 1
	}

	return a
}
