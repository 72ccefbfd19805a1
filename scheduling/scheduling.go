// Package scheduling places requests on backend servers by the estimated work ahead of their
// first event.
//
// For model engines that work is the part of the prompt that is not in the engine's cache,
// plus the prompts that already wait there; for plain services it is the requests in progress.
// All instances derive the home servers of a shared prompt prefix by rendezvous hashing, without
// exchanging messages, and use another server once waiting at the home costs more than reading
// the prefix again.
//
// Pick reads an immutable snapshot of the servers and takes no lock over all of them.
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
//		// The server began to leave, or to back off, after it was picked: pick again.
//	}
//	assignment.FirstEventReceived(now)
//	assignment.End(now, scheduling.Served)
package scheduling

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/pace"
	"monsoonlever/register"
)

// ErrNoServer means that no server can take the request now.
var ErrNoServer = merry.Sentinel("no backend server for the request")

// Segment is a segment of a prompt that other requests may share.
type Segment struct {
	ID     string
	Tokens int
}

// Prompt is what a model engine has to read before it answers. Its segments are in the order
// of the text; the last one belongs to the request alone.
type Prompt struct {
	// Tokens is the length of the prompt, and MaxOutputTokens the limit of generated tokens.
	Tokens          int
	MaxOutputTokens int
	Segments        []Segment
}

// Request describes the request that a server is picked for.
type Request struct {
	Service  fleet.Service
	Prompt   Prompt
	Excluded []fleet.InstanceID
	// GapObjective is the longest pause between two events of a stream that is in time; zero is
	// unknown.
	GapObjective time.Duration
	// OnlyVersion restricts the request to servers of one version, while that version takes a
	// share of the requests for a trial; VersionFraction is the fraction of its servers that
	// may be used. Servers of AvoidVersions are not used.
	OnlyVersion     fleet.Version
	VersionFraction float64
	AvoidVersions   []fleet.Version
	// Due is when the first event should come. The zero time means unknown: the request is
	// never held.
	Due time.Time
	// HoldUntil is until when a prompt that can't begin by Due may be held back. CallerDeadline
	// is when its caller disconnects if it has received nothing.
	HoldUntil, CallerDeadline time.Time
	// WaitUntil is until when the request may wait for a server that is out of permits or in
	// backoff, where no other server can take it.
	WaitUntil time.Time

	// Detour is set if another instance may serve the request. Servers to which this instance has
	// no path, and that others reach, then cost a further hop.
	Detour bool

	// Final requests are not sent to another server if this one rejects them.
	Final bool

	// allowTrial lets a final request be the trial that shows whether a server accepts requests
	// again after its backoff. It is set once no other server is left.
	allowTrial bool
	// awaitedTurn is set once the request has waited for its turn at a brittle server.
	awaitedTurn bool
	// onlyUnlimited restricts the request to servers without a limit. It is set after
	// maxPermitRequests servers have refused a permit.
	onlyUnlimited bool
}

// Scheduler places the requests of one entry instance. Its exported fields are
// set before its first use.
type Scheduler struct {
	// Domain is the failure domain of this entry instance.
	Domain fleet.FailureDomain
	// Permits grants requests to servers that announce a limit. If it is nil, limits are not
	// enforced.
	Permits Permits
	// OnLimitChange is called when a server announces a different limit; it may be nil.
	OnLimitChange func(LimitChange)
	// OnBrittleChange is called when a server announces another number of rejections that it
	// bears; it may be nil.
	OnBrittleChange func(BrittleChange)
	// OnLeaving is called once for each server process, when it first announces in an answer
	// that it leaves. OnBackoff is called when a server that is not in backoff requests one.
	// Both may be nil.
	OnLeaving func(register.Process)
	OnBackoff func(server register.Process, backoff time.Duration)
	// OnPathChange is called when this instance loses its network path to a server, and when it
	// has it again; it may be nil.
	OnPathChange func(PathChange)
	// OnPathSuspect is called when a connection to a server ended without any response; it may be
	// nil.
	OnPathSuspect func(Path)
	// Resume is the policy for sending requests to a server again after its backoff.
	Resume ResumePolicy
	// Counters may be nil.
	Counters *Counters

	pools atomic.Pointer[map[fleet.Service][]*server]

	// byKey holds all known servers by the keys that updates of other instances use.
	byKey atomic.Pointer[map[Key]*server]

	outboxes [audienceCount]outbox
	// isRelay is set while this instance is a relay.
	isRelay atomic.Bool

	// pathFailedAt is when a connection to a server could last not be opened.
	pathFailedAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	servers map[fleet.InstanceID]*server
	// removed holds the announcements of servers that have no entry in the register now.
	removed removedServers
	meters  map[fleet.Service]*meter
	paces   map[fleet.Service]*servicePace
}

// Update replaces the set of servers. The state of a server is kept while its process, address
// and service stay the same. What a process announced is kept as long as the process is known.
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

			srv = newServer(entry, s.removed.take(entry.Process()), s.servicePace(entry.Service))
			srv.restarted = existed
			srv.inheritBrittle(s.serviceMaxRejections(entry.Service))
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

// Initialized reports whether Update was called, so that requests can be placed.
func (s *Scheduler) Initialized() bool {
	return s.pools.Load() != nil
}

// RecordLoad records the load that a server reported.
func (s *Scheduler) RecordLoad(now time.Time, id fleet.InstanceID, load Load) {
	s.mu.Lock()
	srv := s.servers[id]
	s.mu.Unlock()

	if srv != nil {
		srv.recordLoad(now, load.Running+load.Waiting)
		s.publishLoad(srv, true)

		if srv.pace.tell(pace.Slowness{Value: load.Slowness, At: now}) {
			s.publishPace(srv, true)
		}
	}
}

// Pick chooses the server with the lowest estimated cost before the first event. It returns
// ErrNoServer if no server can take the request.
func (s *Scheduler) Pick(now time.Time, r Request) (*Assignment, error) {
	pools := s.pools.Load()
	if pools == nil {
		return nil, ErrNoServer
	}

	pool := r.matchVersions((*pools)[r.Service])
	paces := s.pacesOf(now, r.Service)
	preferred := homesAmong(pool, r.Prompt, paces)
	poolFailureRate := meanFailureRate(now, pool)
	compared := candidates(now, pool, preferred, paces, &r)
	keys := r.Prompt.keys()
	cached := cachedBy(now, compared, keys, r.Prompt)
	home := preferred[0]
	if home != nil && home.restarted {
		home = nil
	}

	if shared := r.Prompt.sharedTokens(); shared > 0 && slices.ContainsFunc(cached, func(n int) bool { return n >= shared }) {
		// A server is known to hold the shared prefix. A home that is not known to hold it
		// doesn't.
		home = nil
	}

	a := &Assignment{scheduler: s, prompt: r.Prompt, keys: keys, pickedAt: now}

	var (
		bestCost float64
		times    []candidateTime
	)

	for i, srv := range compared {
		if !srv.eligible(now, &r) {
			continue
		}

		uncached := r.Prompt.uncachedTokens(cached[i], srv == home)

		cost := srv.cost(now, uncached, s.Domain, poolFailureRate) + srv.avoidanceCost(now, &r) + srv.pauseCost(now, &r)
		if a.server == nil || cost < bestCost {
			a.server, a.uncachedTokens, bestCost = srv, uncached, cost
		}

		if paces.logsChoices() {
			times = append(times, srv.candidateTime(now, cost, uncached))
		}
	}

	if a.server == nil {
		return nil, ErrNoServer
	}

	if len(times) > 0 {
		paces.logChoice(a, times)
	}

	a.version = a.server.entry().Version
	s.attachMeter(now, a, r)

	return a, nil
}

// attachMeter sets the meter of an assignment and the backlog of its server, by which a prompt
// is sent, held or refused.
func (s *Scheduler) attachMeter(now time.Time, a *Assignment, r Request) {
	if r.Prompt.Tokens > 0 {
		a.meter = s.meter(r.Service)
		a.backlog = a.server.pendingTokens.Load() + a.server.remotePending(now)
	}
}

// cachedBy returns for each server how many tokens of a prompt it is known to have read.
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
