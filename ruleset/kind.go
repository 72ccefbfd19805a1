package ruleset

// Kind says what may be repeated of the requests of a route.
type Kind int

// The kinds.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String returns the name of the kind.
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
