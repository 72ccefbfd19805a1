package scheduling

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

const (
	// requestCost is by how much a request in progress slows down the next one, in prompt
	// tokens: an engine's step takes about 0.1 ms longer with each request, and a prompt
	// of some thousand tokens takes about ten steps.
	requestCost = 150
	// uncachedTokenCost is the cost of a prompt token that the server has not cached, in tokens
	// of backlog. It is above 1 because the token delays this request and also all requests that
	// arrive at the server meanwhile.
	uncachedTokenCost = 1.6
	// queuedRequestCost is the cost of a request that has to wait for a slot, in prompt tokens:
	// about the time in which an engine with all slots in use finishes one request.
	queuedRequestCost = 6500
	// otherDomainCost breaks ties in favor of the instance's own failure domain, in prompt
	// tokens: a round trip across domains takes as long as reading about a hundred tokens.
	otherDomainCost = 100
	// failureCost is the cost of a server that fails all requests, in prompt tokens. It exceeds
	// any backlog, so that such a server is used only if all others are worse.
	failureCost = 400_000
	// homeCachedFraction is the fraction of a shared prefix that its home is assumed to hold
	// while no server is known to hold it: after all instances restart, the homes still have
	// the prefixes that were sent there before.
	homeCachedFraction = 0.7
	// loadReportTTL is how long a load report of a server is used; each answer brings a new one.
	loadReportTTL = 2 * time.Second
	// failureHalfLife is the time in which a failure loses half its weight.
	failureHalfLife = 3 * time.Second
	// failurePriorSamples is added to the number of outcomes, so that a single failure does not
	// give a server a high failure rate.
	failurePriorSamples = 3
	// segmentTTL is how long a prompt segment is expected to stay in an engine's cache.
	segmentTTL = 60 * time.Second
	// maxSegments bounds the number of segments stored for one server.
	maxSegments = 2048
)

// Load is the load that a server reported: running and waiting requests, and slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the server's machine at the moment, relative to usual:
	// 2 means twice as long. Zero means that the server does not tell.
	Slowness float64
}

// server is the state of one process of a backend server. Snapshots share it.
type server struct {
	// registered is its newest register entry. Process, service and address never change.
	registered atomic.Pointer[register.Server]
	hash       uint64
	key        Key

	// restarted is set if this state replaced that of a known server, which restarted or changed
	// its address or service. Its cache is assumed to be empty.
	restarted bool

	// removed is set once the register has no entry for this process.
	removed       atomic.Bool
	announcements *announcements
	// running counts the requests of this instance in progress. pendingTokens are the uncached
	// tokens of those whose answer has not begun.
	running       atomic.Int64
	pendingTokens atomic.Int64

	mu sync.Mutex
	// otherRequests is the number of requests of other instances by the last report, which
	// was made at reportedAt.
	otherRequests float64
	reportedAt    time.Time
	// reportedRequests is the number of requests in the last report.
	reportedRequests int
	failures         float64
	outcomes         float64
	decayedAt        time.Time
	// avoidUntil is until when requests avoid the server because it was unreachable, full or
	// terminated.
	avoidUntil time.Time
	// path is this instance's network path to the server.
	path path
	// terminatedAt is when the server's process was last found to be terminated.
	terminatedAt time.Time
	// segments are the prompt segments that the server has read, and publishedSegments those
	// that were published to other instances, each with the time.
	segments, publishedSegments map[Key]time.Time
	// remoteBacklogs are the uncached tokens of other instances. sentUpstream is the backlog of
	// this instance and its subscribers that was last sent to relays.
	remoteBacklogs backlogs
	sentUpstream   int64
}

func newServer(entry register.Server, known *announcements) *server {
	if known == nil {
		known = &announcements{}
	}

	s := &server{
		announcements: known,
		hash:          xxhash.Sum64String(string(entry.ID)), key: keyOfProcess(entry.Process()), segments: make(map[Key]time.Time),
		publishedSegments: make(map[Key]time.Time),
	}
	s.registered.Store(&entry)

	return s
}

// entry returns the server's newest register entry.
func (s *server) entry() *register.Server { return s.registered.Load() }

// isLeaving reports whether the server accepts no new requests because it leaves or was removed
// from the register.
func (s *server) isLeaving() bool { return s.removed.Load() || s.announcements.leaving.Load() }

// sameProcess reports whether a register entry describes this process, of the same version, at the
// same address and for the same service, so that its state still applies.
func (s *server) sameProcess(entry register.Server) bool {
	current := s.entry()

	return current.Process() == entry.Process() && current.Address == entry.Address && current.Service == entry.Service &&
		current.Version == entry.Version
}

// cost estimates the work before the first event of a request, in prompt tokens, where uncached
// tokens of its prompt have to be read.
func (s *server) cost(now time.Time, uncached int, domain fleet.FailureDomain, poolFailureRate float64) float64 {
	load := s.load(now)
	cost := float64(s.pendingTokens.Load()+s.remotePending(now)) + requestCost*load + uncachedTokenCost*float64(uncached)

	if slots := float64(s.entry().Slots); slots > 0 {
		cost += queuedRequestCost * max(0, load+1-slots)
	}

	if s.entry().Domain != domain {
		cost += otherDomainCost
	}

	cost += failureCost * max(0, s.failureRate(now)-poolFailureRate)

	return cost
}

// load returns the requests in progress, including those of other instances.
func (s *server) load(now time.Time) float64 {
	s.mu.Lock()
	others := 0.0

	if now.Sub(s.reportedAt) < loadReportTTL {
		others = s.otherRequests
	}

	s.mu.Unlock()

	return float64(s.running.Load()) + others
}

// recordLoad records how many requests the server had at a time. It subtracts the current
// requests of this instance instead of those at that time, since reports are recent.
func (s *server) recordLoad(at time.Time, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if at.Before(s.reportedAt) {
		return
	}

	s.otherRequests = math.Max(0, float64(requests)-float64(s.running.Load()))
	s.reportedRequests, s.reportedAt = requests, at
}

// lastLoad returns the number of requests in the server's last report and the report's age, and
// reports whether it is still valid.
func (s *server) lastLoad(now time.Time) (int, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	age := max(now.Sub(s.reportedAt), 0)

	return s.reportedRequests, age, age < loadReportTTL
}

// cachedTokens returns how many tokens of a prompt, whose segments have the keys, the server is
// known to have read. It stops at the first segment that is missing.
func (s *server) cachedTokens(now time.Time, keys []Key, p Prompt) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	cached := 0

	for i, key := range keys {
		if at, ok := s.segments[key]; !ok || now.Sub(at) > segmentTTL {
			break
		}

		cached += p.Segments[i].Tokens
	}

	return cached
}

// remotePending returns the uncached tokens that other instances have waiting at the server.
func (s *server) remotePending(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	others := s.remoteBacklogs.sum(now, notFromRelay)
	// The sum of a relay includes what this instance sent to it.
	viaRelay := s.remoteBacklogs.sum(now, fromRelay) - s.sentUpstream

	return max(others, viaRelay)
}

// backlogFor returns the backlog to send to an audience. Only a relay adds the backlogs of its
// subscribers when it sends upstream: instances that subscribe to each other, in pairs or in a
// ring, would otherwise add their own backlog again with each message.
func (s *server) backlogFor(now time.Time, to Audience, isRelay bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	own := s.pendingTokens.Load()

	if to == Downstream {
		return max(own+s.remoteBacklogs.sum(now, notFromRelay), s.remoteBacklogs.sum(now, fromRelay))
	}

	s.sentUpstream = own

	if isRelay {
		s.sentUpstream += s.remoteBacklogs.sum(now, fromSubscriber)
	}

	return s.sentUpstream
}

func (s *server) recordBacklog(now time.Time, from fleet.InstanceID, role SenderRole, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteBacklogs.record(now, from, role, tokens)
}

// addSegments records segments that the server has read, and reports whether at least one of
// them was not published within segmentUpdateInterval.
func (s *server) addSegments(now time.Time, segments []Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeSegments(now, segments)

	unpublished := false

	for _, segment := range segments {
		if at, ok := s.publishedSegments[segment]; ok && now.Sub(at) < segmentUpdateInterval {
			continue
		}

		s.publishedSegments[segment] = now
		unpublished = true
	}

	if len(s.publishedSegments) > maxSegments {
		clear(s.publishedSegments)
	}

	return unpublished
}

// storeSegments stores the segments with the time. The caller holds the lock.
func (s *server) storeSegments(now time.Time, segments []Key) {
	if len(s.segments)+len(segments) > maxSegments {
		for id, at := range s.segments {
			if now.Sub(at) > segmentTTL/2 {
				delete(s.segments, id)
			}
		}

		if len(s.segments)+len(segments) > maxSegments {
			clear(s.segments)
		}
	}

	for _, segment := range segments {
		s.segments[segment] = now
	}
}

func (s *server) decayOutcomes(now time.Time) {
	if !s.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(failureHalfLife))
		s.failures *= factor
		s.outcomes *= factor
	}

	s.decayedAt = now
}

func (s *server) recordOutcome(now time.Time, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decayOutcomes(now)
	s.outcomes++

	if failed {
		s.failures++
	}
}

func (s *server) failureRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decayOutcomes(now)

	return s.failures / (s.outcomes + failurePriorSamples)
}

func (s *server) avoid(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = until
}

// markTerminated records that the server's process was found to be terminated, and reports
// whether that was not known yet.
func (s *server) markTerminated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.isTerminatedLocked(now) {
		return false
	}

	s.terminatedAt = now
	s.avoidUntil = now.Add(unreachableAvoidance)

	return true
}

// isTerminated reports whether the server's process was found to be terminated within
// unreachableAvoidance.
func (s *server) isTerminated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.isTerminatedLocked(now)
}

func (s *server) isTerminatedLocked(now time.Time) bool {
	return now.Sub(s.terminatedAt) < unreachableAvoidance
}

func (s *server) isAvoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return now.Before(s.avoidUntil) || s.path.lost(now)
}

// meanFailureRate returns the mean failure rate of a pool. A service may fail a fraction of its
// requests by its nature; only failures above the mean count against a server.
func meanFailureRate(now time.Time, pool []*server) float64 {
	sum := 0.0
	for _, s := range pool {
		sum += s.failureRate(now)
	}

	return sum / math.Max(1, float64(len(pool)))
}
