package answer

import "time"

// StorePolicy bounds the work of a Store.
type StorePolicy struct {
	// Copies is how many peers hold each request.
	Copies int
	// Retention is how long an ended answer is kept.
	Retention time.Duration
	// FlushAfter and FlushTokens bound how long and how many tokens wait for a
	// batch.
	FlushAfter  time.Duration
	FlushTokens int
	// SweepEvery is the time between two looks for what got stuck.
	SweepEvery time.Duration
	// ResendAfter is when an unanswered batch is sent again, and ReplaceAfter
	// when another peer takes the place of one that does not answer.
	ResendAfter  time.Duration
	ReplaceAfter time.Duration
	// ProbeAfter is when a copy asks a silent owner whether it is one still,
	// and StaleAfter when it is not read from any longer.
	ProbeAfter time.Duration
	StaleAfter time.Duration
	// LostAfter is when a copy whose owner is silent, and which no membership
	// change has made an owner, counts as no copy. It is longer than the death of
	// an entry instance takes to be known.
	LostAfter time.Duration
	// FollowedEvery is the time between two messages by which a copy tells its
	// owner of a reader.
	FollowedEvery time.Duration
	// TakeoverGrace sets the takeovers of several copies apart.
	TakeoverGrace time.Duration
	// RetryAfter is when a caller should come back whose answer was lost.
	RetryAfter time.Duration
}

// DefaultStorePolicy returns a policy for one to two milliseconds between
// failure domains.
func DefaultStorePolicy() StorePolicy {
	return StorePolicy{
		Copies:        1,
		Retention:     15 * time.Minute,
		FlushAfter:    5 * time.Millisecond,
		FlushTokens:   512,
		SweepEvery:    100 * time.Millisecond,
		ResendAfter:   250 * time.Millisecond,
		ReplaceAfter:  time.Second,
		ProbeAfter:    time.Second,
		StaleAfter:    3 * time.Second,
		LostAfter:     45 * time.Second,
		FollowedEvery: time.Second,
		TakeoverGrace: 2 * time.Second,
		RetryAfter:    5 * time.Second,
	}
}
