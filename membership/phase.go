package membership

// Phase is the lifecycle state that a member announces of itself.
type Phase uint8

// The phases in the order in which a member passes through them.
const (
	// Active members accept new work.
	Active Phase = iota
	// Leaving members drain and accept no new work.
	Leaving
	// Left members have shut down as planned.
	Left
)

// String returns the phase in lower case.
func (p Phase) String() string {
	switch p {
	case Active:
		return "active"
	case Leaving:
		return "leaving"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}
