package manifest

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

type wireService struct {
	Name           fleet.Service         `json:"name"`
	Kind           Kind                  `json:"kind"`
	Models         []fleet.Model         `json:"models"`
	Classes        []provider.Class      `json:"classes"`
	FailureDomains []fleet.FailureDomain `json:"failureDomains"`
	Concurrency    int                   `json:"concurrency"`
	Calls          []wireCall            `json:"calls"`
}

type wireCall struct {
	Name          fleet.CallKind    `json:"name"`
	Method        string            `json:"method"`
	Path          string            `json:"path"`
	Idempotent    *bool             `json:"idempotent"`
	Priority      fleet.Priority    `json:"priority"`
	LatencyTarget wireLatencyTarget `json:"latencyTarget"`
	Objective     float64           `json:"objective"`
	Deadline      time.Duration     `json:"deadline"`
	KeyWindow     *time.Duration    `json:"keyWindow"`
}

type wireLatencyTarget struct {
	FirstToken    time.Duration `json:"firstToken"`
	BetweenTokens time.Duration `json:"betweenTokens"`
	Whole         time.Duration `json:"whole"`
}
