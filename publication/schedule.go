package publication

import (
	"math/rand/v2"
	"time"
)

const (
	// recordsPerCheckpoint bounds what a new reader has to read.
	recordsPerCheckpoint = 32
	// checkpointSpread is the time over which the nodes share the writing of a
	// checkpoint that is due by the number of records; the first one to write
	// spares the others theirs.
	checkpointSpread = 5 * time.Minute
)

// schedule decides when a node writes a checkpoint. All nodes decide alike, each
// at a time of its own, and the first checkpoint resets them all.
type schedule struct {
	random    *rand.Rand
	retention time.Duration
	due       time.Time
	records   int
}

// reset plans the next checkpoint for half of the retention after the last one
// and a random part of a quarter.
func (s *schedule) reset(last time.Time) {
	s.records = 0
	s.due = last.Add(s.retention/2 + s.spread(s.retention/4))
}

// keep takes a new retention into account. A shorter one may make the next
// checkpoint due earlier.
func (s *schedule) keep(retention time.Duration, now time.Time) {
	if retention == s.retention {
		return
	}

	s.retention = retention

	at := now.Add(s.spread(retention / 4))
	if at.Before(s.due) {
		s.due = at
	}
}

// count takes one more record since the last checkpoint into account.
func (s *schedule) count(now time.Time) {
	s.records++
	if s.records != recordsPerCheckpoint {
		return
	}

	at := now.Add(s.spread(checkpointSpread))
	if at.Before(s.due) || s.due.IsZero() {
		s.due = at
	}
}

// isDue tells whether to write a checkpoint now. A checkpoint that does not show
// on the log is written again after the same spread.
func (s *schedule) isDue(now time.Time) bool {
	if s.due.IsZero() || now.Before(s.due) {
		return false
	}

	s.due = now.Add(checkpointSpread/2 + s.spread(checkpointSpread))

	return true
}

func (s *schedule) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}

	return time.Duration(s.random.Int64N(int64(d)))
}
