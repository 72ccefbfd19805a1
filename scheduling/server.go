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
	// unreadCost is what a token costs that the server has not read, in tokens that
	// wait there: it delays this request and all that come to the server meanwhile.
	unreadCost = 1.6
	// queuedCost is what a request costs that has to wait for a place: about the time
	// in which an engine with all places taken ends one.
	queuedCost = 6500
	// otherDomainCost breaks ties in favour of the instance's own failure domain:
	// a round trip across domains takes as long as some hundred tokens.
	otherDomainCost = 100
	// failureCost is what a server costs that fails all requests: more than any
	// backlog, so that it is used where all others are worse.
	failureCost = 400_000
	// homeTrust is the part of a common prefix that its home is expected to hold while
	// no server is known to: after a start of all instances, homes still hold what the
	// runs before sent there.
	homeTrust = 0.7
	// reportLife is how long a server's word on its load is used; it is made again
	// with each answer.
	reportLife = 2 * time.Second
	// failureHalfLife is the time in which a failure loses half its weight.
	failureHalfLife = 3 * time.Second
	// failureSamples keeps a single failure from condemning a server.
	failureSamples = 3
	// partLife is how long a part is expected to stay in an engine's cache.
	partLife = 60 * time.Second
	// maxParts bounds the memory of parts of one server.
	maxParts = 2048
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

	// again tells that the server started again while it was known: it holds nothing.
	again bool

	// gone is set once the register has no entry of this start.
	gone          atomic.Bool
	announcements *announcements
	// running are the requests of this instance in progress, and pending the
	// unread tokens of those whose answer has not begun.
	running atomic.Int64
	pending atomic.Int64

	mu sync.Mutex
	// others is how many requests of other instances the server last reported.
	others   float64
	reported time.Time
	// requests is what the server last reported.
	requests int
	failures float64
	outcomes float64
	faded    time.Time
	// avoidUntil is when a server that could not be reached is tried again.
	avoidUntil time.Time
	// endedAt is when its program was last found to have ended.
	endedAt time.Time
	// parts are those that the server has read, and told those that others were told of,
	// each with its time.
	parts, told map[Key]time.Time
	// elsewhere are the unread tokens of other instances, and upstream what relays were
	// last told of this one's and its subscribers'.
	elsewhere backlogs
	upstream  int64
}

func newServer(entry register.Server, known *announcements) *server {
	if known == nil {
		known = &announcements{}
	}

	s := &server{
		announcements: known,
		hash:          xxhash.Sum64String(string(entry.ID)), key: keyOfStart(entry.Process()), parts: make(map[Key]time.Time),
		told: make(map[Key]time.Time),
	}
	s.registered.Store(&entry)

	return s
}

// entry returns the server's newest entry.
func (s *server) entry() *register.Server { return s.registered.Load() }

// leaves reports whether the server takes nothing new.
func (s *server) leaves() bool { return s.gone.Load() || s.announcements.leaving.Load() }

// stays tells whether an entry tells of the same start: what was learnt of this one
// holds for it.
func (s *server) stays(entry register.Server) bool {
	own := s.entry()

	return own.Process() == entry.Process() && own.Address == entry.Address && own.Service == entry.Service
}

// cost estimates, in tokens of a prompt, what stands before the begin of an answer of
// which unread tokens have to be read first.
func (s *server) cost(now time.Time, unread int, domain fleet.FailureDomain, typical float64) float64 {
	load := s.load(now)
	cost := float64(s.pending.Load()+s.waiting(now)) + requestCost*load + unreadCost*float64(unread)

	if slots := float64(s.entry().Slots); slots > 0 {
		cost += queuedCost * max(0, load+1-slots)
	}

	if s.entry().Domain != domain {
		cost += otherDomainCost
	}

	cost += failureCost * max(0, s.failureRate(now)-typical)

	if s.avoided(now) {
		cost += failureCost
	}

	return cost
}

// load returns the requests in progress, those of other instances included.
func (s *server) load(now time.Time) float64 {
	s.mu.Lock()
	others := 0.0

	if now.Sub(s.reported) < reportLife {
		others = s.others
	}

	s.mu.Unlock()

	return float64(s.running.Load()) + others
}

// hear takes in how many requests the server had at a time. What this instance has
// there now is taken for what it had then: reports are young.
func (s *server) hear(at time.Time, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if at.Before(s.reported) {
		return
	}

	s.others = math.Max(0, float64(requests)-float64(s.running.Load()))
	s.requests, s.reported = requests, at
}

// newest returns what the server last reported, and how long ago.
func (s *server) newest(now time.Time) (int, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	age := max(now.Sub(s.reported), 0)

	return s.requests, age, age < reportLife
}

// held returns the tokens of a prompt, whose parts have the keys, that the server is known
// to have read.
func (s *server) held(now time.Time, keys []Key, p Prompt) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	held := 0

	for i, key := range keys {
		if at, ok := s.parts[key]; !ok || now.Sub(at) > partLife {
			break
		}

		held += p.Segments[i].Tokens
	}

	return held
}

// waiting returns the tokens that other instances have waiting there.
func (s *server) waiting(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	others := s.elsewhere.sum(now, ofOthers)
	// A relay's sum holds what it was told by this instance.
	all := s.elsewhere.sum(now, ofRelay) - s.upstream

	return max(others, all)
}

// backlogFor returns the unread tokens that an audience is told. What subscribers said is
// passed up by a relay alone: two that take each other for relays, or three in a ring, would
// each add what they are told of themselves, and more with each message.
func (s *server) backlogFor(now time.Time, to Audience, relay bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	own := s.pending.Load()

	if to == Downstream {
		return max(own+s.elsewhere.sum(now, ofOthers), s.elsewhere.sum(now, ofRelay))
	}

	s.upstream = own

	if relay {
		s.upstream += s.elsewhere.sum(now, ofSubscribers)
	}

	return s.upstream
}

func (s *server) hearBacklog(now time.Time, from fleet.InstanceID, as SenderRole, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elsewhere.hear(now, from, as, tokens)
}

// holdNew remembers which parts the server has read, and tells whether others have not
// been told of one of them lately.
func (s *server) holdNew(now time.Time, parts []Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold(now, parts)

	news := false

	for _, part := range parts {
		if at, ok := s.told[part]; ok && now.Sub(at) < holdingLife {
			continue
		}

		s.told[part] = now
		news = true
	}

	if len(s.told) > maxParts {
		clear(s.told)
	}

	return news
}

// hold remembers parts; the server is locked.
func (s *server) hold(now time.Time, parts []Key) {
	if len(s.parts)+len(parts) > maxParts {
		for id, at := range s.parts {
			if now.Sub(at) > partLife/2 {
				delete(s.parts, id)
			}
		}

		if len(s.parts)+len(parts) > maxParts {
			clear(s.parts)
		}
	}

	for _, part := range parts {
		s.parts[part] = now
	}
}

func (s *server) fade(now time.Time) {
	if !s.faded.IsZero() {
		part := math.Exp2(-float64(now.Sub(s.faded)) / float64(failureHalfLife))
		s.failures *= part
		s.outcomes *= part
	}

	s.faded = now
}

func (s *server) outcome(now time.Time, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	s.outcomes++

	if failed {
		s.failures++
	}
}

func (s *server) failureRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)

	return s.failures / (s.outcomes + failureSamples)
}

func (s *server) avoid(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = until
}

// end takes in that the program of the server has ended, and tells whether that is news.
func (s *server) end(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.hasEndedLocked(now) {
		return false
	}

	s.endedAt = now
	s.avoidUntil = now.Add(avoidUnreachable)

	return true
}

// hasEnded reports whether the program of the server was found to have ended a moment ago.
func (s *server) hasEnded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.hasEndedLocked(now)
}

func (s *server) hasEndedLocked(now time.Time) bool { return now.Sub(s.endedAt) < avoidUnreachable }

func (s *server) avoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return now.Before(s.avoidUntil)
}

// typicalFailures is the mean failure rate of a pool. A service may fail a part
// of its requests by its nature; only what lies above that speaks against a server.
func typicalFailures(now time.Time, pool []*server) float64 {
	sum := 0.0
	for _, s := range pool {
		sum += s.failureRate(now)
	}

	return sum / math.Max(1, float64(len(pool)))
}
