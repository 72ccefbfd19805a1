package routing

import (
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/window"
)

const (
	inFlightBucketWidth = 64 * time.Millisecond
	inFlightBuckets     = 64
)

// server is the state of one instance for its lifetime. Snapshots share it, so that an
// update takes effect in older snapshots as well.
type server struct {
	id fleet.InstanceID
	// rank is the rank of the server for this entry instance; see the function rank.
	rank uint64

	// The fields below are accessed for each request, without the lock of the table.
	leaving    atomic.Bool
	ejected    atomic.Bool
	dialFailed atomic.Bool
	// silent is set if a server that has reported before hasn't done so for
	// Policy.SilenceTimeout.
	silent   atomic.Bool
	inFlight atomic.Int64
	// otherAtReport and ownAtReport are the requests that the server held at its last
	// report, of other entry instances and of this one.
	otherAtReport atomic.Int64
	ownAtReport   atomic.Int64

	inFlightChanges *window.Counter
	pendingOutcomes outcomeCounters
	// member is the server as the newest snapshot has it, nil if it can't take
	// requests.
	member atomic.Pointer[member]

	// The fields below are guarded by the lock of the table.
	spec           spec
	reportedAt     time.Time
	lastSeen       time.Time
	lastListed     time.Time
	unlisted       bool
	lastCacheEvent uint64
	tickOutcomes   outcomeCounts
	health         health
}

func newServer(id fleet.InstanceID, rank uint64) *server {
	return &server{id: id, rank: rank, inFlightChanges: window.NewCounter(inFlightBucketWidth, inFlightBuckets)}
}

// unresponsive reports whether a dial of the server failed, without a success since, or
// the server is silent.
func (s *server) unresponsive() bool {
	return s.dialFailed.Load() || s.silent.Load()
}

// applyLoad splits the load that a server reported into the requests of this entry
// instance and those of the others. The report doesn't include requests that this entry
// instance began or ended after the time of the report.
func (s *server) applyLoad(now, at time.Time, total int64) {
	ownAtReport := max(0, s.inFlight.Load()-s.inFlightChanges.Since(now, at))
	s.ownAtReport.Store(ownAtReport)
	s.otherAtReport.Store(max(0, total-ownAtReport))
}

// begin counts a request as in flight and returns true, unless the server is leaving.
// It increments inFlight before it checks leaving, so that a caller that sets leaving
// and then reads inFlight as 0 knows that no further request begins.
func (s *server) begin(now time.Time) bool {
	s.inFlight.Add(1)

	if s.leaving.Load() {
		s.inFlight.Add(-1)

		return false
	}

	s.inFlightChanges.Add(now, 1)

	return true
}

func (s *server) end(now time.Time) {
	s.inFlight.Add(-1)
	s.inFlightChanges.Add(now, -1)
}
