package capacity

// Bound is what decides how many servers are wanted.
type Bound string

// The bounds.
const (
	// Minimum is the least number for each failure domain.
	Minimum Bound = "minimum"
	// Maximum is the most that may be ordered.
	Maximum Bound = "maximum"
	// Speed is the arriving work by the speed of single prompts.
	Speed Bound = "speed"
	// Reading is the arriving work by the read rate and pace of the servers.
	Reading Bound = "reading"
	// Slots is the number of requests in progress by the servers' slots.
	Slots Bound = "slots"
	// Present is the number of existing servers, while the load is not known or the servers
	// contradict it.
	Present Bound = "present"
	// Restored is a plan of an earlier planner.
	Restored Bound = "restored"
)
