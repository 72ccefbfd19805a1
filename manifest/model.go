package manifest

import "monsoonlever/fleet"

// Model is a model version and the rates of one runner that serves it.
type Model struct {
	wire *wireModel
}

// Name returns the model's name.
func (m Model) Name() fleet.Model { return m.wire.Name }

// Version returns the version that is wanted.
func (m Model) Version() fleet.ModelVersion { return m.wire.Version }

// WeightBytes returns the size of the weights in the weight store.
func (m Model) WeightBytes() int64 { return m.wire.WeightBytes }

// Adapters returns the names of the adapters.
func (m Model) Adapters() []string { return clone(m.wire.Adapters) }

// PrefillTokensPerSecond returns the prompt tokens that one runner reads.
func (m Model) PrefillTokensPerSecond() float64 { return m.wire.PrefillTokensPerSecond }

// DecodeTokensPerSecond returns the tokens that one runner generates over all
// of its requests.
func (m Model) DecodeTokensPerSecond() float64 { return m.wire.DecodeTokensPerSecond }

// Concurrency returns how many requests one runner serves at once.
func (m Model) Concurrency() int { return m.wire.Concurrency }
