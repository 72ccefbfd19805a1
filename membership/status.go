package membership

// Status is the liveness of a member as other members judge it.
type Status uint8

// The statuses in ascending precedence: at an equal revision the higher status
// replaces the lower.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}
