package manifest

// Kind tells what serves a service.
type Kind string

// The kinds of service.
const (
	// ModelService is served by model engines.
	ModelService Kind = "model"
	// PlainService is served by backend servers without a model.
	PlainService Kind = "plain"
)
