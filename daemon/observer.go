package daemon

import (
	"monsoonlever/burn"
	"monsoonlever/clock"
	"monsoonlever/gateway"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// observer passes finished requests on to the burn report.
type observer struct {
	clock    clock.Clock
	recorder *burn.Recorder
}

var _ gateway.Observer = (*observer)(nil)

// Observe counts one finished request.
func (o *observer) Observe(seen gateway.Observation) {
	out := burn.Observation{
		Service:          seen.Service,
		Account:          seen.Account,
		Kind:             seen.Kind.Name(),
		FirstToken:       seen.FirstToken,
		BetweenTokens:    seen.BetweenTokens,
		Whole:            seen.Duration,
		Tokens:           seen.Tokens,
		RecomputedTokens: seen.Recomputed,
	}

	if seen.Refused != nil {
		out.Outcome = outcome(seen.Refused)
		out.Reason = string(seen.Refused.Code())
		out.Excused = seen.CallerGone || isExcused(seen.Refused.Code())
	}

	o.recorder.Record(o.clock.Now(), out)
}

func outcome(r *refusal.Refusal) burn.Outcome {
	if r.Run() == refusal.NotRun || r.Run() == refusal.NotStarted {
		return burn.Refused
	}

	return burn.Failed
}

// isExcused tells whether a refusal is the caller's doing.
func isExcused(c refusal.Code) bool {
	switch c {
	case refusal.LimitExceeded, refusal.KeyReused, refusal.KeyExpired, refusal.KeyRequired:
		return true
	default:
		return false
	}
}

// objectives returns what a manifest promises for each kind of call.
func objectives(m *manifest.Manifest) []burn.Objective {
	var out []burn.Objective

	for _, service := range m.Services() {
		for _, call := range service.Calls() {
			out = append(out, burn.Objective{
				Service:       service.Name(),
				Kind:          call.Name(),
				FirstToken:    call.LatencyTarget().FirstToken(),
				BetweenTokens: call.LatencyTarget().BetweenTokens(),
				Whole:         call.LatencyTarget().Whole(),
				Part:          call.Objective(),
			})
		}
	}

	return out
}
