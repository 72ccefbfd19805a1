package admission

import "time"

// Sharing sets how the limits of accounts are shared between entry instances.
type Sharing struct {
	// PropagationDelay is the longest time a digest or a join normally takes to reach
	// every member, clock skew included. Zero means that this instance is the
	// only one.
	PropagationDelay time.Duration
	// MemberTimeout is how long a silent member is counted, at least Spread.
	MemberTimeout time.Duration
	// EvenFraction is the part of each limit that is shared evenly, whatever the demand.
	EvenFraction float64
	// DigestAccounts is how many accounts a digest lists, at most
	// MaxDemandAccounts. Fewer make smaller digests where there are many members.
	DigestAccounts int
}

const (
	defaultMemberTimeout = 10 * time.Second
	defaultEvenFraction  = 0.1
)

func (s Sharing) withDefaults() Sharing {
	if s.MemberTimeout < s.PropagationDelay {
		s.MemberTimeout = max(defaultMemberTimeout, s.PropagationDelay)
	}

	if s.EvenFraction <= 0 {
		s.EvenFraction = defaultEvenFraction
	}

	if s.DigestAccounts <= 0 || s.DigestAccounts > MaxDemandAccounts {
		s.DigestAccounts = MaxDemandAccounts
	}

	return s
}
