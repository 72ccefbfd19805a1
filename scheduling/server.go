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
	// requestCost is what a request in progress slows the next one, in tokens of a
	// prompt: an engine's step grows by some 0.1 ms with each request, and a prompt
	// of some thousand tokens waits for some ten steps.
	requestCost = 150
	// uncachedTokenCost is what a token costs that the server has not read, in tokens that
	// wait there: it delays this request and all that come to the server meanwhile.
	uncachedTokenCost = 1.6
	// queuedRequestCost is what a request costs that has to wait for a place: about the time
	// in which an engine with all places taken ends one.
	queuedRequestCost = 6500
	// otherDomainCost breaks ties in favour of the instance's own failure domain:
	// a round trip across domains takes as long as some hundred tokens.
	otherDomainCost = 100
	// failureCost is what a server costs that fails all requests: more than any
	// backlog, so that it is used where all others are worse.
	failureCost = 400_000
	// homeCachedFraction is the part of a common prefix that its home is expected to hold while
	// no server is known to: after a start of all instances, homes still hold what the
	// runs before sent there.
	homeCachedFraction = 0.7
	// loadReportTTL is how long a server's word on its load is used; it is made again
	// with each answer.
	loadReportTTL = 2 * time.Second
	// failureHalfLife is the time in which a failure loses half its weight.
	failureHalfLife = 3 * time.Second
	// failurePriorSamples keeps a single failure from condemning a server.
	failurePriorSamples = 3
	// segmentTTL is how long a part is expected to stay in an engine's cache.
	segmentTTL = 60 * time.Second
	// maxSegments bounds the memory of parts of one server.
	maxSegments = 2048
)

// Load is what a server said of itself.
type Load struct {
	Running, Waiting, Slots int
}

// server is one start of a backend server; snapshots share it.
type server struct {
	// registered is its newest entry. Start, service and address never change.
	registered atomic.Pointer[register.Server]
	hash       uint64
	key        Key

	// restarted tells that the server started restarted while it was known: it holds nothing.
	restarted bool

	// removed is set once the register has no entry of this start.
	removed       atomic.Bool
	announcements *announcements
	// running are the requests of this instance in progress, and pending the
	// unread tokens of those whose answer has not begun.
	running       atomic.Int64
	pendingTokens atomic.Int64

	mu sync.Mutex
	// otherRequests is how many requests of other instances the server last reported.
	otherRequests float64
	reportedAt    time.Time
	// reportedRequests is what the server last reported.
	reportedRequests int
	failures         float64
	outcomes         float64
	decayedAt        time.Time
	// avoidUntil is when a server that could not be reached is tried again.
	avoidUntil time.Time
	// terminatedAt is when its program was last found to have ended.
	terminatedAt time.Time
	// segments are those that the server has read, and publishedSegments those that others were publishedSegments of,
	// each with its time.
	segments, publishedSegments map[Key]time.Time
	// remoteBacklogs are the unread tokens of other instances, and upstream what relays were
	// last told of this one's and its subscribers'.
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

// entry returns the server's newest entry.
func (s *server) entry() *register.Server { return s.registered.Load() }

// isLeaving reports whether the server takes nothing new.
func (s *server) isLeaving() bool { return s.removed.Load() || s.announcements.leaving.Load() }

// sameProcess tells whether an entry tells of the same start: what was learnt of this one
// holds for it.
func (s *server) sameProcess(entry register.Server) bool {
	current := s.entry()

	return current.Process() == entry.Process() && current.Address == entry.Address && current.Service == entry.Service
}

// cost estimates, in tokens of a prompt, what stands before the begin of an answer of
// which unread tokens have to be read first.
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

	if s.isAvoided(now) {
		cost += failureCost
	}

	return cost
}

// load returns the requests in progress, those of other instances included.
func (s *server) load(now time.Time) float64 {
	s.mu.Lock()
	others := 0.0

	if now.Sub(s.reportedAt) < loadReportTTL {
		others = s.otherRequests
	}

	s.mu.Unlock()

	return float64(s.running.Load()) + others
}

// recordLoad takes in how many requests the server had at a time. What this instance has
// there now is taken for what it had then: reports are young.
func (s *server) recordLoad(at time.Time, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if at.Before(s.reportedAt) {
		return
	}

	s.otherRequests = math.Max(0, float64(requests)-float64(s.running.Load()))
	s.reportedRequests, s.reportedAt = requests, at
}

// lastLoad returns what the server last reported, and how long ago.
func (s *server) lastLoad(now time.Time) (int, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	age := max(now.Sub(s.reportedAt), 0)

	return s.reportedRequests, age, age < loadReportTTL
}

// cachedTokens returns the tokens of a prompt, whose parts have the keys, that the server is known
// to have read.
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

// remotePending returns the tokens that other instances have remotePending there.
func (s *server) remotePending(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	others := s.remoteBacklogs.sum(now, notFromRelay)
	// A relay's sum holds what it was told by this instance.
	viaRelay := s.remoteBacklogs.sum(now, fromRelay) - s.sentUpstream

	return max(others, viaRelay)
}

// backlogFor returns the unread tokens that an audience is told. What subscribers said is
// passed up by a relay alone: two that take each other for relays, or three in a ring, would
// each add what they are told of themselves, and more with each message.
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

// addSegments remembers which parts the server has read, and tells whether others have not
// been told of one of them lately.
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

// storeSegments remembers parts; the server is locked.
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

// markTerminated takes in that the program of the server has ended, and tells whether that is news.
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

// isTerminated reports whether the program of the server was found to have ended a moment ago.
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

	return now.Before(s.avoidUntil)
}

// meanFailureRate is the mean failure rate of a pool. A service may fail a part
// of its requests by its nature; only what lies above that speaks against a server.
func meanFailureRate(now time.Time, pool []*server) float64 {
	sum := 0.0
	for _, s := range pool {
		sum += s.failureRate(now)
	}

	return sum / math.Max(1, float64(len(pool)))
}
