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

// server is one instance for its lifetime. Snapshots share it, so that what is
// learnt of it is seen through old snapshots as well.
type server struct {
	id fleet.InstanceID
	// rank orders servers for this entry instance.
	rank uint64

	// The fields below are read and written on the path of a request.
	leaving    atomic.Bool
	ejected    atomic.Bool
	dialFailed atomic.Bool
	// silent is set while the server, unlike before, does not report.
	silent   atomic.Bool
	inFlight atomic.Int64
	// otherAtReport and ownThen are the requests of other entry instances and of this
	// one that the server held when it last reported.
	otherAtReport atomic.Int64
	ownAtReport   atomic.Int64

	inFlightChanges *window.Counter
	pendingOutcomes outcomeCounters
	// member is the server in the newest snapshot, nil if it takes no requests.
	member atomic.Pointer[member]

	// The fields below belong to the writers of the table.
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

// unresponsive tells whether others are to be preferred.
func (s *server) unresponsive() bool {
	return s.dialFailed.Load() || s.silent.Load()
}

// applyLoad splits a report into the share of others and that of this node.
// What this node sent or finished since the report's time is not in it.
func (s *server) applyLoad(now, at time.Time, total int64) {
	ownAtReport := max(0, s.inFlight.Load()-s.inFlightChanges.Since(now, at))
	s.ownAtReport.Store(ownAtReport)
	s.otherAtReport.Store(max(0, total-ownAtReport))
}

// begin counts a request, unless the server is leaving. It counts before it
// looks, so that who marks the server and then sees no request in flight knows
// that none follows.
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
