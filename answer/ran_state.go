package answer

// RanState tells what a refused request may have done.
type RanState string

// The states of a refused request.
const (
	// NotRun means that no backend server ran any of it, and none will.
	NotRun RanState = "notRun"
	// PartlyRan means that tokens were generated and forwarded.
	PartlyRan RanState = "partlyRan"
	// RanUnknown means that a backend server may have run some of it.
	RanUnknown RanState = "unknown"
)
