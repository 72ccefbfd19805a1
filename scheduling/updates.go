package scheduling

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// ServerUpdate is what an instance sends to other instances about the servers that prompts are
// sent to. With many instances each one sends only a small share of a server's prompts. Without
// updates from the others it would know neither the prompts that wait at the server nor the
// segments that the server's cache holds (TestUpdatesShortenPromptWaits).
type ServerUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Backlogs []Backlog
	Holdings []CachedSegments
	Loads    []ServerLoad
	// Ended are servers that refused a connection: their process terminated, but their entry
	// stays in the register for some seconds.
	Ended []Key
	// Limits are the request limits that servers announced.
	Limits []ServerLimit
	// Brittle are servers that fall over if they have to reject too many requests.
	Brittle []ServerBrittleness
	// Contentions are accounts whose prompts wait. They are not part of the encoding, whose number of
	// fields earlier versions check.
	Contentions []Contention `msgpack:"-"`
}

// Empty reports whether the update holds nothing.
func (u ServerUpdate) Empty() bool {
	return len(u.Backlogs) == 0 && len(u.Holdings) == 0 && len(u.Loads) == 0 && len(u.Ended) == 0 &&
		len(u.Limits) == 0 && len(u.Brittle) == 0 && len(u.Contentions) == 0
}

// Audience is the group of instances that an update is sent to.
type Audience int

const (
	// Upstream is the relays. They receive what this instance has sent to servers and, if it is
	// a relay, what its subscribers have.
	Upstream Audience = iota
	// Downstream is the subscribers of this instance, which is their relay. They receive what
	// all instances have sent to servers, including the subscribers themselves.
	Downstream

	audienceCount
)

// SenderRole is the role of the instance that sent an update.
type SenderRole int

const (
	// Peer is an instance that reports what it and its subscribers have sent to servers.
	Peer SenderRole = iota
	// Subscriber is an instance that uses this one as its relay. Its updates are forwarded.
	Subscriber
	// Relay is the relay of this instance. It reports what all instances have sent to servers,
	// including this one.
	Relay
)

// Backlog is the number of prompt tokens that a server has not read yet. It replaces the
// previous value from the same sender.
type Backlog struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Tokens   uint32
}

// CachedSegments are prompt segments that a server has read, or will read first.
type CachedSegments struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Parts    []Key
}

// ServerLoad is the number of requests that a server reported.
type ServerLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Requests uint16
	// AgeMs is the age of the report in milliseconds.
	AgeMs uint16
}

// ServerLimit is the limit that a server announced. A rate of zero means no limit.
type ServerLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Rate     ratelimit.Rate
	// AgeMs is the age of the announcement in milliseconds.
	AgeMs uint32
}

// Key is a hash that identifies a server process or a prompt segment in updates. With some
// thousand segments a collision happens on one day in a thousand; a segment that is not cached
// then counts as cached.
type Key uint32

func keyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// keyOfProcess returns a key that differs between the processes of one server, so that an update
// about one process is not applied to the next.
func keyOfProcess(s register.Process) Key { return keyOf(s.String()) }

const (
	// backlogTTL is how long a backlog counts without a new update. The longest prompts are read
	// within that time, and the sender may have terminated.
	backlogTTL = 1500 * time.Millisecond
	// maxQueuedSegments bounds the entries of cached segments in an outbox until they are taken.
	maxQueuedSegments = 256
	// segmentUpdateInterval is how long a segment that was published for a server is not
	// published again. It is well below segmentTTL, after which other instances drop the segment.
	segmentUpdateInterval = segmentTTL / 3
)

// change is a kind of change of a server that other instances are told.
type change int

const (
	backlogChanged change = iota
	loadReported
	processTerminated
	limitAnnounced
	brittleAnnounced

	changes
)

// outbox collects changes until the next update to one audience. The zero value is empty.
type outbox struct {
	mu          sync.Mutex
	servers     [changes]map[*server]bool
	segments    []CachedSegments
	contentions []Contention
	// wake is sent when an update should be sent soon.
	wake feed.Signal
}

// add queues a change of a server, and segments that the server has cached. Without wake it is part
// of the next update that is sent for another reason.
func (o *outbox) add(kind change, s *server, segments []Key, wake bool) {
	o.mu.Lock()

	if o.servers[kind] == nil {
		o.servers[kind] = make(map[*server]bool)
	}

	o.servers[kind][s] = true

	if len(segments) > 0 && len(o.segments) < maxQueuedSegments {
		o.segments = append(o.segments, CachedSegments{Server: s.key, Parts: segments})
	}

	o.mu.Unlock()

	if wake {
		o.wake.Send()
	}
}

// addContention queues a contention.
func (o *outbox) addContention(c Contention) {
	o.mu.Lock()

	if len(o.contentions) < maxContentions {
		o.contentions = append(o.contentions, c)
	}

	o.mu.Unlock()
	o.wake.Send()
}

// outboxContent is the content of an outbox.
type outboxContent struct {
	servers     [changes][]*server
	segments    []CachedSegments
	contentions []Contention
}

// take empties the outbox and returns its content.
func (o *outbox) take() outboxContent {
	o.mu.Lock()
	defer o.mu.Unlock()

	content := outboxContent{segments: o.segments, contentions: o.contentions}

	for kind, servers := range o.servers {
		content.servers[kind] = slices.Collect(maps.Keys(servers))
		clear(servers)
	}

	o.segments, o.contentions = nil, nil

	return content
}

// publish queues a change of a server for the subscribers and, with upstream set, for the relays.
// Changes that relays and peers told are not sent back upstream.
func (s *Scheduler) publish(kind change, srv *server, segments []Key, upstream, wake bool) {
	s.outboxes[Downstream].add(kind, srv, segments, wake)

	if upstream {
		s.outboxes[Upstream].add(kind, srv, segments, wake)
	}
}

// TakeUpdate returns what has changed for an audience since the last call.
func (s *Scheduler) TakeUpdate(now time.Time, to Audience) ServerUpdate {
	content := s.outboxes[to].take()
	update := ServerUpdate{Holdings: content.segments, Contentions: content.contentions}

	for _, srv := range content.servers[processTerminated] {
		update.Ended = append(update.Ended, srv.key)
	}

	for _, srv := range content.servers[limitAnnounced] {
		update.Limits = append(update.Limits, srv.limitUpdate(now))
	}

	for _, srv := range content.servers[brittleAnnounced] {
		update.Brittle = append(update.Brittle, srv.brittleUpdate(now))
	}

	for _, srv := range content.servers[backlogChanged] {
		update.Backlogs = append(update.Backlogs, Backlog{Server: srv.key, Tokens: clampTokens(srv.backlogFor(now, to, s.isRelay.Load()))})
	}

	for _, srv := range content.servers[loadReported] {
		if requests, age, ok := srv.lastLoad(now); ok {
			update.Loads = append(update.Loads, ServerLoad{
				Server: srv.key, Requests: uint16(min(requests, math.MaxUint16)), AgeMs: uint16(age.Milliseconds()),
			})
		}
	}

	return update
}

// SetRelay sets whether this instance is a relay. If it is not, its updates to relays hold only
// its own backlogs.
func (s *Scheduler) SetRelay(relay bool) { s.isRelay.Store(relay) }

// UpdateReady returns a channel that receives a value when there is an update for an audience.
func (s *Scheduler) UpdateReady(to Audience) <-chan struct{} { return s.outboxes[to].wake.C() }

func clampTokens(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// ApplyUpdate applies another instance's update, and queues the content that has to be forwarded.
// Entries of servers that are not known here are ignored.
func (s *Scheduler) ApplyUpdate(now time.Time, from fleet.InstanceID, role SenderRole, update ServerUpdate) {
	byKey := s.byKey.Load()
	if byKey == nil {
		return
	}

	for _, b := range update.Backlogs {
		if srv := (*byKey)[b.Server]; srv != nil {
			srv.recordBacklog(now, from, role, int64(b.Tokens))
			s.roomChanged(srv.entry().Service)
			s.publishBacklog(srv, nil, role == Subscriber)
		}
	}

	for _, h := range update.Holdings {
		if srv := (*byKey)[h.Server]; srv != nil {
			s.publishSegments(now, srv, h.Parts, role == Subscriber)
		}
	}

	for _, key := range update.Ended {
		if srv := (*byKey)[key]; srv != nil && !srv.heardWithin(now, aliveTime) {
			s.publishTerminated(now, srv, role == Subscriber)
		}
	}

	for _, l := range update.Limits {
		if srv := (*byKey)[l.Server]; srv != nil && l.Rate.Valid() {
			s.receiveLimit(now, srv, l, role == Subscriber)
		}
	}

	for _, l := range update.Loads {
		if srv := (*byKey)[l.Server]; srv != nil {
			srv.recordLoad(now.Add(-time.Duration(l.AgeMs)*time.Millisecond), int(l.Requests))
			s.publishLoad(srv, role == Subscriber)
		}
	}

	s.applyBrittleUpdates(now, *byKey, role, update.Brittle)

	for _, c := range update.Contentions {
		s.receiveContention(now, c, role == Subscriber)
	}
}

func (s *Scheduler) applyBrittleUpdates(now time.Time, byKey map[Key]*server, role SenderRole, updates []ServerBrittleness) {
	for _, b := range updates {
		if srv := byKey[b.Server]; srv != nil {
			s.receiveBrittle(now, srv, b, role == Subscriber)
		}
	}
}

// publishBacklog queues the backlog of a server, and segments that the server has cached, for
// other instances. Updates of relays and peers are not forwarded upstream.
func (s *Scheduler) publishBacklog(srv *server, segments []Key, upstream bool) {
	s.publish(backlogChanged, srv, segments, upstream, true)
}

// publishSegments records that a server has cached segments, and queues them for other instances
// unless all were published recently.
func (s *Scheduler) publishSegments(now time.Time, srv *server, segments []Key, upstream bool) {
	if srv.addSegments(now, segments) {
		s.publishBacklog(srv, segments, upstream)
	}
}

// publishTerminated keeps requests away from a server whose process terminated, and queues that
// for other instances unless it was already known.
func (s *Scheduler) publishTerminated(now time.Time, srv *server, upstream bool) {
	if srv.markTerminated(now) {
		s.publish(processTerminated, srv, nil, upstream, true)
	}
}

// publishLoad queues the load of a server. A load alone is not worth an update.
func (s *Scheduler) publishLoad(srv *server, upstream bool) {
	s.publish(loadReported, srv, nil, upstream, false)
}

// backlogs are the backlogs of other instances at one server.
type backlogs struct {
	bySender map[fleet.InstanceID]senderBacklog
}

type senderBacklog struct {
	tokens     int64
	receivedAt time.Time
	role       SenderRole
}

func (b *backlogs) record(now time.Time, from fleet.InstanceID, role SenderRole, tokens int64) {
	if b.bySender == nil {
		b.bySender = make(map[fleet.InstanceID]senderBacklog)
	}

	if tokens == 0 {
		delete(b.bySender, from)

		return
	}

	b.bySender[from] = senderBacklog{tokens: tokens, receivedAt: now, role: role}
}

// sum returns the tokens that senders of the included roles have waiting. It removes backlogs
// that are older than backlogTTL.
func (b *backlogs) sum(now time.Time, include func(SenderRole) bool) int64 {
	sum := int64(0)

	for from, backlog := range b.bySender {
		if now.Sub(backlog.receivedAt) > backlogTTL {
			delete(b.bySender, from)

			continue
		}

		if include(backlog.role) {
			sum += backlog.tokens
		}
	}

	return sum
}

// fromSubscriber, notFromRelay and fromRelay select the senders whose backlogs are summed.
func fromSubscriber(s SenderRole) bool { return s == Subscriber }
func notFromRelay(s SenderRole) bool   { return s != Relay }
func fromRelay(s SenderRole) bool      { return s == Relay }
