package manifest

import "monsoonlever/fleet"

type wireAccount struct {
	Name            fleet.Account   `json:"name"`
	KeyHashes       []string        `json:"keyHashes"`
	Weight          float64         `json:"weight"`
	Limits          wireLimits      `json:"limits"`
	Services        []fleet.Service `json:"services"`
	PriorityCeiling fleet.Priority  `json:"priorityCeiling"`
}

type wireLimits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond"`
	Concurrent        int     `json:"concurrent"`
}
