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

// ServerUpdate is what an instance tells others of the servers that prompts are sent to. Each of
// many instances sends a small part of what a server has to read; without the others'
// parts it sees neither the prompts that wait there nor the parts that the server's cache
// holds (TestNewsOfOthersKeepsPromptsFromWaiting).
type ServerUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Backlogs []Backlog
	Holdings []CachedSegments
	Loads    []ServerLoad
	// Ended are servers that refused a connection: their program has ended, and their
	// entry in the register outlives it for some seconds.
	Ended []Key
	// Limits are what servers announced of the requests that they take.
	Limits []ServerLimit
}

// Empty tells whether there is nothing to tell.
func (n ServerUpdate) Empty() bool {
	return len(n.Backlogs) == 0 && len(n.Holdings) == 0 && len(n.Loads) == 0 && len(n.Ended) == 0 &&
		len(n.Limits) == 0
}

// Audience is whom news is for.
type Audience int

const (
	// Upstream are the relays. They are told what this instance, and where it is a relay
	// those that turned to it, have sent.
	Upstream Audience = iota
	// Downstream are the instances that turned to this one as their relay. They are told
	// what all have sent, themselves included.
	Downstream

	audienceCount
)

// SenderRole is whom news comes from.
type SenderRole int

const (
	// Peer tells what it, and those that turned to it, have sent.
	Peer SenderRole = iota
	// Subscriber is a peer whose news this instance passes on.
	Subscriber
	// Relay tells what all have sent, this instance included.
	Relay
)

// Backlog is how many tokens of prompts a server has not read yet. It replaces what the
// same sender told before.
type Backlog struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Tokens   uint32
}

// CachedSegments are parts of prompts that a server has read, or is about to.
type CachedSegments struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Parts    []Key
}

// ServerLoad is how many requests a server said it had.
type ServerLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Requests uint16
	// AgeMs is how long ago the server said so, in milliseconds.
	AgeMs uint16
}

// ServerLimit is what a server announced; a rate of zero is no limit.
type ServerLimit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   Key
	Rate     ratelimit.Rate
	// AgeMs is how long ago the server said so, in milliseconds.
	AgeMs uint32
}

// Key stands for a server or a part of a prompt in news. Two of some thousand parts
// share one in a day of a thousand, and then a part counts as read that is not.
type Key uint32

func keyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// keyOfProcess differs between the starts of a server, so that news of one is not taken
// for news of the next.
func keyOfProcess(s register.Process) Key { return keyOf(s.String()) }

const (
	// backlogTTL is how long the news of a backlog counts that is not told anew: the
	// longest prompts are read within it, and the instance may have ended.
	backlogTTL = 1500 * time.Millisecond
	// maxQueuedSegments bounds what is kept for the others until it is told.
	maxQueuedSegments = 256
	// segmentUpdateInterval is how long after it was told that a server holds a part that is not
	// told again: well within the time for which the others believe it.
	segmentUpdateInterval = segmentTTL / 3
)

// outbox collects what is to be told to one audience. The zero value is empty.
type outbox struct {
	mu         sync.Mutex
	backlogs   map[*server]bool
	loads      map[*server]bool
	terminated map[*server]bool
	limits     map[*server]bool
	segments   []CachedSegments
	// wake tells that there is something.
	wake feed.Signal
}

// addBacklog notes that the backlog of a server addBacklog, and parts that it now holds.
func (o *outbox) addBacklog(s *server, segments []Key) {
	o.mu.Lock()

	if o.backlogs == nil {
		o.backlogs = make(map[*server]bool)
	}

	o.backlogs[s] = true

	if len(segments) > 0 && len(o.segments) < maxQueuedSegments {
		o.segments = append(o.segments, CachedSegments{Server: s.key, Parts: segments})
	}

	o.mu.Unlock()
	o.wake.Send()
}

// addLoad notes that a server told its load. That alone is no reason to tell at once.
func (o *outbox) addLoad(s *server) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.loads == nil {
		o.loads = make(map[*server]bool)
	}

	o.loads[s] = true
}

// addTerminated notes that the program of a server has addTerminated.
func (o *outbox) addTerminated(s *server) {
	o.mu.Lock()

	if o.terminated == nil {
		o.terminated = make(map[*server]bool)
	}

	o.terminated[s] = true

	o.mu.Unlock()
	o.wake.Send()
}

// addLimit notes that a server announced a limit. One that changes nothing is no reason to
// send a message at once.
func (o *outbox) addLimit(s *server, changed bool) {
	o.mu.Lock()

	if o.limits == nil {
		o.limits = make(map[*server]bool)
	}

	o.limits[s] = true

	o.mu.Unlock()

	if changed {
		o.wake.Send()
	}
}

// outboxContent is what an outbox held.
type outboxContent struct {
	backlogs, loads, terminated, limits []*server
	segments                            []CachedSegments
}

// take empties the outbox.
func (o *outbox) take() outboxContent {
	o.mu.Lock()
	defer o.mu.Unlock()

	content := outboxContent{
		backlogs: slices.Collect(maps.Keys(o.backlogs)), loads: slices.Collect(maps.Keys(o.loads)),
		terminated: slices.Collect(maps.Keys(o.terminated)), limits: slices.Collect(maps.Keys(o.limits)), segments: o.segments,
	}

	clear(o.backlogs)
	clear(o.loads)
	clear(o.terminated)
	clear(o.limits)

	o.segments = nil

	return content
}

// TakeUpdate returns what has changed for an audience since the last call.
func (s *Scheduler) TakeUpdate(now time.Time, to Audience) ServerUpdate {
	content := s.outboxes[to].take()
	update := ServerUpdate{Holdings: content.segments}

	for _, srv := range content.terminated {
		update.Ended = append(update.Ended, srv.key)
	}

	for _, srv := range content.limits {
		update.Limits = append(update.Limits, srv.limitUpdate(now))
	}

	for _, srv := range content.backlogs {
		update.Backlogs = append(update.Backlogs, Backlog{Server: srv.key, Tokens: clampTokens(srv.backlogFor(now, to, s.isRelay.Load()))})
	}

	for _, srv := range content.loads {
		if requests, age, ok := srv.lastLoad(now); ok {
			update.Loads = append(update.Loads, ServerLoad{
				Server: srv.key, Requests: uint16(min(requests, math.MaxUint16)), AgeMs: uint16(age.Milliseconds()),
			})
		}
	}

	return update
}

// SetRelay says whether this instance is a relay: one that is none tells relays of itself
// alone.
func (s *Scheduler) SetRelay(relay bool) { s.isRelay.Store(relay) }

// UpdateReady returns a channel that is told when there is news for an audience.
func (s *Scheduler) UpdateReady(to Audience) <-chan struct{} { return s.outboxes[to].wake.C() }

func clampTokens(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// ApplyUpdate takes another instance's news in, and notes what of it is to be passed on.
// Servers that are not known here are passed over.
func (s *Scheduler) ApplyUpdate(now time.Time, from fleet.InstanceID, role SenderRole, update ServerUpdate) {
	byKey := s.byKey.Load()
	if byKey == nil {
		return
	}

	for _, b := range update.Backlogs {
		if srv := (*byKey)[b.Server]; srv != nil {
			srv.recordBacklog(now, from, role, int64(b.Tokens))
			s.publishBacklog(srv, nil, role == Subscriber)
		}
	}

	for _, h := range update.Holdings {
		if srv := (*byKey)[h.Server]; srv != nil {
			s.publishSegments(now, srv, h.Parts, role == Subscriber)
		}
	}

	for _, key := range update.Ended {
		if srv := (*byKey)[key]; srv != nil {
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
}

// publishBacklog notes for others that a server's backlog publishBacklog, or parts that it holds. What
// relays tell goes no further up.
func (s *Scheduler) publishBacklog(srv *server, segments []Key, upstream bool) {
	s.outboxes[Downstream].addBacklog(srv, segments)

	if upstream {
		s.outboxes[Upstream].addBacklog(srv, segments)
	}
}

// publishSegments takes in that a server publishSegments parts, and notes it for others that have not been
// told of late.
func (s *Scheduler) publishSegments(now time.Time, srv *server, segments []Key, upstream bool) {
	if srv.addSegments(now, segments) {
		s.publishBacklog(srv, segments, upstream)
	}
}

// publishTerminated keeps requests off a server whose program has publishTerminated, and notes that for others
// that have not been told of late.
func (s *Scheduler) publishTerminated(now time.Time, srv *server, upstream bool) {
	if !srv.markTerminated(now) {
		return
	}

	s.outboxes[Downstream].addTerminated(srv)

	if upstream {
		s.outboxes[Upstream].addTerminated(srv)
	}
}

func (s *Scheduler) publishLoad(srv *server, upstream bool) {
	s.outboxes[Downstream].addLoad(srv)

	if upstream {
		s.outboxes[Upstream].addLoad(srv)
	}
}

// backlogs are those of other instances at one server.
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

// sum returns the tokens that senders of some kinds have waiting, as far as it was told
// lately.
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

// isSubscriber and ofOthers are the senders whose backlogs an audience is told.
func fromSubscriber(s SenderRole) bool { return s == Subscriber }
func notFromRelay(s SenderRole) bool   { return s != Relay }
func fromRelay(s SenderRole) bool      { return s == Relay }
