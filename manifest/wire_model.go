package manifest

import "monsoonlever/fleet"

type wireModel struct {
	Name                   fleet.Model        `json:"name"`
	Version                fleet.ModelVersion `json:"version"`
	WeightBytes            int64              `json:"weightBytes"`
	Adapters               []string           `json:"adapters"`
	PrefillTokensPerSecond float64            `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64            `json:"decodeTokensPerSecond"`
	Concurrency            int                `json:"concurrency"`
}
