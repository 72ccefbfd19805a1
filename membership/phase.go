package membership

// Phase is what a member says of itself.
type Phase uint8

// The phases, in the order of a member's life.
const (
	// Active members take part in everything.
	Active Phase = iota
	// Leaving members are draining and take nothing new.
	Leaving
	// Left members have ended as planned.
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
