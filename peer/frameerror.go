package peer

import "fmt"

// Fault is the kind of error in a malformed frame.
type Fault uint8

// The faults of a frame.
const (
	// FaultVersion is a frame of another version of the protocol.
	FaultVersion Fault = iota + 1
	// FaultForm is a frame that is neither a message, request, response nor
	// failure.
	FaultForm
	// FaultSize is a frame whose body is longer than the receiver's MaxBody.
	FaultSize
	// FaultTruncated is a frame that is cut off.
	FaultTruncated
	// FaultBody is a frame whose body does not decode as the message type of its
	// kind.
	FaultBody
	// FaultKind is a frame of a kind that has no handler.
	FaultKind
)

// String returns the fault's label in counters.
func (f Fault) String() string {
	switch f {
	case FaultVersion:
		return "version"
	case FaultForm:
		return "form"
	case FaultSize:
		return "size"
	case FaultTruncated:
		return "truncated"
	case FaultBody:
		return "body"
	case FaultKind:
		return "kind"
	default:
		return "unknown"
	}
}

// FrameError reports a malformed frame.
type FrameError struct {
	fault Fault
	value uint64
}

// Fault returns the kind of error.
func (e *FrameError) Fault() Fault {
	return e.fault
}

// Error describes the fault with the value that caused it.
func (e *FrameError) Error() string {
	return fmt.Sprintf("malformed frame: %s (%d)", e.fault, e.value)
}
