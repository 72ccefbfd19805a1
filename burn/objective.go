package burn

import (
	"time"

	"monsoonlever/fleet"
)

// Objective is what is promised for a kind of call of a service. An empty
// account or kind stands for all of them; the most specific objective counts.
type Objective struct {
	Service fleet.Service  `json:"service"`
	Account fleet.Account  `json:"account,omitempty"`
	Kind    fleet.CallKind `json:"kind,omitempty"`
	// FirstToken, BetweenTokens and Whole are latency targets; zero is none.
	FirstToken    time.Duration `json:"firstToken,omitempty"`
	BetweenTokens time.Duration `json:"betweenTokens,omitempty"`
	Whole         time.Duration `json:"whole,omitempty"`
	// Part is the part of requests that must be answered within the targets.
	Part float64 `json:"part"`
}

// defaultPart is the objective where none is set.
const defaultPart = 0.95

// specificity is negative if the objective is not about the key.
func (o *Objective) specificity(k key) int {
	if o.Service != k.service || (o.Account != "" && o.Account != k.account) || (o.Kind != "" && o.Kind != k.kind) {
		return -1
	}

	score := 0
	if o.Kind != "" {
		score++
	}

	if o.Account != "" {
		score += 2
	}

	return score
}

// met tells whether an answered request was within the targets.
func (o *Objective) met(b *Observation) bool {
	return within(b.FirstToken, o.FirstToken) && within(b.BetweenTokens, o.BetweenTokens) && within(b.Whole, o.Whole)
}

func within(got, target time.Duration) bool {
	return target <= 0 || got <= target
}

// find returns the most specific objective for a key.
func find(objectives []Objective, k key) *Objective {
	best := &Objective{Service: k.service, Part: defaultPart}
	score := -1

	for i := range objectives {
		if s := objectives[i].specificity(k); s > score {
			best, score = &objectives[i], s
		}
	}

	return best
}
