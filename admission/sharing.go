package admission

import "time"

// Sharing configures how the limits of accounts are shared between entry instances.
type Sharing struct {
	// PropagationDelay is the longest time that a digest or a new member normally takes to become
	// known to every member, including clock skew. Zero means that this instance is the only one.
	PropagationDelay time.Duration
	// MemberTimeout is how long the weights of a silent member are counted, at least
	// PropagationDelay.
	MemberTimeout time.Duration
	// EvenFraction is the fraction of each limit that is shared evenly, regardless of demand.
	EvenFraction float64
	// DigestAccounts is the number of accounts that a digest lists, at most MaxDemandAccounts.
	// A lower number makes smaller digests for deployments with many members.
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
