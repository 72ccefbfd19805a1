// Package scheduling places requests on backend servers by what each would have
// to do before it begins to answer.
//
// For model engines that is the part of the prompt that is not in the engine's
// cache yet, behind the prompts that wait there; for plain services it is the
// requests in progress. All instances agree without a message where the common
// part of a prompt has its home, by rendezvous hashing, and leave that home once
// the wait there costs more than reading the part again.
//
// Pick reads an immutable snapshot and atomics.
//
// # Usage
//
//	s := &scheduling.Scheduler{Domain: "ballerup-a"}
//	s.Update(servers)
//	assignment, err := s.Pick(now, request)
//	if err != nil {
//		return err
//	}
//	if !assignment.Start(now) {
//		// The server began to leave after it was picked: pick again.
//	}
//	assignment.Answering(now) // the first event has come
//	assignment.End(now, scheduling.Served)
package scheduling

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// ErrNoServer means that no server can take the request now.
var ErrNoServer = merry.Sentinel("no backend server for the request")

// Segment is a piece of a prompt that other requests may share.
type Segment struct {
	ID     string
	Tokens int
}

// Prompt is what a model engine has to read before it answers.
type Prompt struct {
	// Tokens is the length of the prompt, Output the most that is generated.
	Tokens          int
	MaxOutputTokens int
	Segments        []Segment
}

// Request says what a server is wanted for.
type Request struct {
	Service  fleet.Service
	Prompt   Prompt
	Excluded []fleet.InstanceID
	// OnlyVersion is the version of servers that may take it, if it is one of the share that tries
	// a new one, and Part the part of these servers that take that share. Avoid are
	// versions that may not.
	OnlyVersion     fleet.Version
	VersionFraction float64
	AvoidVersions   []fleet.Version
	// Due is when the first event should come; zero is not known, and nothing is held.
	Due time.Time
	// HoldUntil is until when a prompt that can't begin by Due may be held back, and
	// CallerDeadline when its caller leaves if nothing has come.
	HoldUntil, CallerDeadline time.Time
	// WaitUntil is until when it may wait for a server that limits its requests, where no
	// other server takes it.
	WaitUntil time.Time

	// Final requests are sent to no other server if this one turns them away.
	Final bool

	// allowTrial is set once no other server is left: a final request may be the one that shows
	// whether a server takes requests again.
	allowTrial bool
	// onlyUnlimited is set once a few servers without room were asked: only others are
	// picked from then on.
	onlyUnlimited bool
}

// Scheduler places the requests of one entry instance. Its exported fields are
// set before its first use.
type Scheduler struct {
	// Domain is the failure domain of this entry instance.
	Domain fleet.FailureDomain
	// Permits grants requests to servers that announce a limit. Without it limits are not
	// kept.
	Permits Permits
	// OnLimitChange is called where a server announces another limit than before; it may be nil.
	OnLimitChange func(LimitChange)
	// OnLeaving is called once where a server first answers that it leaves, and OnBackoff
	// where one asks for no requests for some time; both may be nil.
	OnLeaving func(register.Process)
	OnBackoff func(server register.Process, backoff time.Duration)
	// Resume says how requests return to a server that asked for backoff.
	Resume ResumePolicy
	// Counters may be nil.
	Counters *Counters

	pools atomic.Pointer[map[fleet.Service][]*server]

	// byKey has the servers that other instances tell of.
	byKey atomic.Pointer[map[Key]*server]

	outboxes [audienceCount]outbox
	// isRelay tells that this instance is a isRelay.
	isRelay atomic.Bool

	mu      sync.Mutex
	servers map[fleet.InstanceID]*server
	// removed is what servers announced whose entry is not there.
	removed removedServers
	meters  map[fleet.Service]*meter
}

// Update takes in which servers there are. What was learnt of those that stay is
// kept; a server that started again holds nothing of what it held before.
func (s *Scheduler) Update(servers []register.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()

	byID := make(map[fleet.InstanceID]*server, len(servers))
	pools := make(map[fleet.Service][]*server)

	for _, entry := range servers {
		srv := s.servers[entry.ID]
		if existed := srv != nil; !existed || !srv.sameProcess(entry) {
			if existed {
				s.removed.add(srv.entry().Process(), srv.announcements)
			}

			srv = newServer(entry, s.removed.take(entry.Process()))
			srv.restarted = existed
		}

		srv.registered.Store(&entry)

		if entry.Leaving {
			srv.announcements.leaving.Store(true)
		}

		byID[entry.ID] = srv

		if !srv.isLeaving() {
			pools[entry.Service] = append(pools[entry.Service], srv)
		}
	}

	for id, srv := range s.servers {
		if byID[id] == srv {
			continue
		}

		srv.removed.Store(true)

		if byID[id] == nil {
			s.removed.add(srv.entry().Process(), srv.announcements)
		}
	}

	byKey := make(map[Key]*server, len(byID))
	for _, srv := range byID {
		byKey[srv.key] = srv
	}

	s.servers = byID
	s.byKey.Store(&byKey)
	s.pools.Store(&pools)
}

// Initialized tells whether Update was called: requests can be placed.
func (s *Scheduler) Initialized() bool {
	return s.pools.Load() != nil
}

// RecordLoad takes in what a server said of its load.
func (s *Scheduler) RecordLoad(now time.Time, id fleet.InstanceID, load Load) {
	s.mu.Lock()
	srv := s.servers[id]
	s.mu.Unlock()

	if srv != nil {
		srv.recordLoad(now, load.Running+load.Waiting)
		s.publishLoad(srv, true)
	}
}

// Pick chooses the server that is expected to begin its answer first.
func (s *Scheduler) Pick(now time.Time, r Request) (*Assignment, error) {
	pools := s.pools.Load()
	if pools == nil {
		return nil, ErrNoServer
	}

	pool := r.matchVersions((*pools)[r.Service])
	preferred := homesOf(pool, r.Prompt)
	poolFailureRate := meanFailureRate(now, pool)
	compared := candidates(now, pool, preferred, &r)
	keys := r.Prompt.keys()
	cached := cachedBy(now, compared, keys, r.Prompt)
	home := preferred[0]
	if home != nil && home.restarted {
		home = nil
	}

	if shared := r.Prompt.sharedTokens(); shared > 0 && slices.ContainsFunc(cached, func(n int) bool { return n >= shared }) {
		// The home that does not hold the common part is known not to.
		home = nil
	}

	a := &Assignment{scheduler: s, prompt: r.Prompt, keys: keys}

	var bestCost float64

	for i, srv := range compared {
		if !srv.eligible(now, &r) {
			continue
		}

		uncached := r.Prompt.uncachedTokens(cached[i], srv == home)

		cost := srv.cost(now, uncached, s.Domain, poolFailureRate)
		if a.server == nil || cost < bestCost {
			a.server, a.uncachedTokens, bestCost = srv, uncached, cost
		}
	}

	if a.server == nil {
		return nil, ErrNoServer
	}

	s.attachMeter(now, a, r)

	return a, nil
}

// attachMeter notes what an assignment is judged by.
func (s *Scheduler) attachMeter(now time.Time, a *Assignment, r Request) {
	if r.Prompt.Tokens > 0 {
		a.meter = s.meter(r.Service)
		a.backlog = a.server.pendingTokens.Load() + a.server.remotePending(now)
	}
}

// cachedBy returns the tokens of a prompt that each of some servers is known to have read.
func cachedBy(now time.Time, servers []*server, keys []Key, p Prompt) []int {
	cached := make([]int, len(servers))
	for i, srv := range servers {
		cached[i] = srv.cachedTokens(now, keys, p)
	}

	return cached
}

func excluded(ids []fleet.InstanceID, id fleet.InstanceID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}

	return false
}
