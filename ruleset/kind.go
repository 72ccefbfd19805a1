package ruleset

// Kind determines whether the requests of a route may be repeated.
type Kind int

// The kinds.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests have a stream of events as their response.
	Streaming
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}
