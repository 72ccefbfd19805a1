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

	leaving atomic.Bool
	// running are the requests of this instance in progress, and pending the
	// unread tokens of those whose answer has not begun.
	running atomic.Int64
	pending atomic.Int64

	mu sync.Mutex
	// others is how many requests of other instances the server last reported.
	others   float64
	reported time.Time
	// told is the newest report that this instance was given itself, for the others.
	told     int
	toldAt   time.Time
	failures float64
	outcomes float64
	faded    time.Time
	// avoidUntil is when a server that could not be reached is tried again.
	avoidUntil time.Time
	parts      map[Key]time.Time
	// elsewhere are the unread tokens of other instances.
	elsewhere backlogs
}

func newServer(entry register.Server) *server {
	s := &server{
		hash: xxhash.Sum64String(string(entry.ID)), key: keyOfStart(entry.Start()), parts: make(map[Key]time.Time),
	}
	s.registered.Store(&entry)

	return s
}

// entry returns the server's newest entry.
func (s *server) entry() *register.Server { return s.registered.Load() }

// stays tells whether an entry tells of the same start: what was learnt of this one
// holds for it.
func (s *server) stays(entry register.Server) bool {
	own := s.entry()

	return own.Start() == entry.Start() && own.Address == entry.Address && own.Service == entry.Service
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

func (s *server) report(now time.Time, load Load) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.told, s.toldAt = load.Running+load.Waiting, now
	s.hear(now, s.told)
}

// hear takes in how many requests the server had at a time. What this instance has
// there now is taken for what it had then: reports are young.
func (s *server) hear(at time.Time, requests int) {
	if at.Before(s.reported) {
		return
	}

	s.others = math.Max(0, float64(requests)-float64(s.running.Load()))
	s.reported = at
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

		held += p.Parts[i].Tokens
	}

	return held
}

// waiting returns the tokens that other instances have waiting there.
func (s *server) waiting(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.elsewhere.sum(now)
}

func (s *server) hearBacklog(now time.Time, from fleet.InstanceID, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elsewhere.hear(now, from, tokens)
}

// hold remembers which parts the server has read.
func (s *server) hold(now time.Time, parts []Key) {
	s.mu.Lock()
	defer s.mu.Unlock()

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
