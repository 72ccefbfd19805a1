package membership

// Status is what the other members think of a member.
type Status uint8

// The statuses, from the mildest to the gravest.
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
