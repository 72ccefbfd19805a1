package scheduling

import (
	"errors"
	"fmt"
	"time"
)

// OverloadReason is why a prompt was rejected.
type OverloadReason int

// The reasons.
const (
	// LateAtServers is a prompt that would not begin before its caller leaves, by the backlog of
	// its server, or that was held for as long as allowed.
	LateAtServers OverloadReason = iota
	// LateInQueue is a prompt that would not begin before its caller leaves, by the work that is
	// queued ahead of it.
	LateInQueue
	// QueueFull is a prompt for which the queue has no room.
	QueueFull

	overloadReasons
)

// String returns the name that metrics and logs use.
func (r OverloadReason) String() string {
	return [overloadReasons]string{"late at servers", "late in queue", "queue full"}[r]
}

// OverloadError means that no server can begin a prompt in time and that the prompt can't be
// held any longer. It holds what the decision is based on.
type OverloadError struct {
	Reason OverloadReason
	// RetryAfter is the time until the caller should retry. By then the servers will have read
	// at least about half of their current backlog.
	RetryAfter time.Duration
	// Priority and Tokens are those of the prompt, where Tokens are what the server has to read.
	Priority, Tokens int
	// Backlog is the number of tokens that wait at the server, and TimeToRead the time to read
	// them.
	Backlog    int64
	TimeToRead time.Duration
	// Waiting is the number of prompts in the queue, and WorkAhead the number of their tokens that
	// would be read before. Both are zero if the prompt did not queue.
	Waiting   int
	WorkAhead int64
	// Remaining is the time until the caller leaves.
	Remaining time.Duration
}

// Error includes RetryAfter and what the decision is based on.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("servers are busy for longer than the caller waits, try again in %v "+
		"(%v: priority %d, %d tokens, backlog %d tokens or %v, %d waiting, %d tokens ahead, %v left)",
		e.RetryAfter, e.Reason, e.Priority, e.Tokens, e.Backlog, e.TimeToRead.Round(time.Millisecond), e.Waiting, e.WorkAhead,
		e.Remaining.Round(time.Millisecond))
}

// overload returns the error for a prompt that is rejected.
func (a *Assignment) overload(now time.Time, r Request, reason OverloadReason) *OverloadError {
	return &OverloadError{
		Reason: reason, RetryAfter: a.retryAfter(), Priority: r.Priority, Tokens: a.uncachedTokens,
		Backlog: a.backlog, TimeToRead: a.timeToRead(a.backlog), Remaining: r.CallerDeadline.Sub(now),
	}
}

// rejected counts an OverloadError and returns err.
func (s *Scheduler) rejected(err error) error {
	var overload *OverloadError
	if errors.As(err, &overload) {
		s.Counters.rejectedForOverload(overload.Reason)
	}

	return err
}
