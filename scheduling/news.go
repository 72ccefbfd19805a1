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

	audiences
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

// keyOfStart differs between the starts of a server, so that news of one is not taken
// for news of the next.
func keyOfStart(s register.Process) Key { return keyOf(s.String()) }

const (
	// backlogLife is how long the news of a backlog counts that is not told anew: the
	// longest prompts are read within it, and the instance may have ended.
	backlogLife = 1500 * time.Millisecond
	// maxHoldings bounds what is kept for the others until it is told.
	maxHoldings = 256
	// holdingLife is how long after it was told that a server holds a part that is not
	// told again: well within the time for which the others believe it.
	holdingLife = partLife / 3
)

// outbox collects what is to be told to one audience. The zero value is empty.
type outbox struct {
	mu       sync.Mutex
	backlogs map[*server]bool
	loads    map[*server]bool
	gone     map[*server]bool
	limits   map[*server]bool
	holdings []CachedSegments
	// wake tells that there is something.
	wake feed.Signal
}

// changed notes that the backlog of a server changed, and parts that it now holds.
func (o *outbox) changed(s *server, parts []Key) {
	o.mu.Lock()

	if o.backlogs == nil {
		o.backlogs = make(map[*server]bool)
	}

	o.backlogs[s] = true

	if len(parts) > 0 && len(o.holdings) < maxHoldings {
		o.holdings = append(o.holdings, CachedSegments{Server: s.key, Parts: parts})
	}

	o.mu.Unlock()
	o.wake.Send()
}

// loaded notes that a server told its load. That alone is no reason to tell at once.
func (o *outbox) loaded(s *server) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.loads == nil {
		o.loads = make(map[*server]bool)
	}

	o.loads[s] = true
}

// ended notes that the program of a server has ended.
func (o *outbox) ended(s *server) {
	o.mu.Lock()

	if o.gone == nil {
		o.gone = make(map[*server]bool)
	}

	o.gone[s] = true

	o.mu.Unlock()
	o.wake.Send()
}

// limited notes that a server announced a limit. One that changes nothing is no reason to
// send a message at once.
func (o *outbox) limited(s *server, changed bool) {
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

// noted is what an outbox held.
type noted struct {
	backlogs, loads, ended, limits []*server
	holdings                       []CachedSegments
}

// take empties the outbox.
func (o *outbox) take() noted {
	o.mu.Lock()
	defer o.mu.Unlock()

	all := noted{
		backlogs: slices.Collect(maps.Keys(o.backlogs)), loads: slices.Collect(maps.Keys(o.loads)),
		ended: slices.Collect(maps.Keys(o.gone)), limits: slices.Collect(maps.Keys(o.limits)), holdings: o.holdings,
	}

	clear(o.backlogs)
	clear(o.loads)
	clear(o.gone)
	clear(o.limits)

	o.holdings = nil

	return all
}

// TakeUpdate returns what has changed for an audience since the last call.
func (s *Scheduler) TakeUpdate(now time.Time, to Audience) ServerUpdate {
	all := s.outboxes[to].take()
	news := ServerUpdate{Holdings: all.holdings}

	for _, one := range all.ended {
		news.Ended = append(news.Ended, one.key)
	}

	for _, one := range all.limits {
		news.Limits = append(news.Limits, one.limitFor(now))
	}

	for _, one := range all.backlogs {
		news.Backlogs = append(news.Backlogs, Backlog{Server: one.key, Tokens: tokens(one.backlogFor(now, to, s.relay.Load()))})
	}

	for _, one := range all.loads {
		if requests, age, ok := one.newest(now); ok {
			news.Loads = append(news.Loads, ServerLoad{
				Server: one.key, Requests: uint16(min(requests, math.MaxUint16)), AgeMs: uint16(age.Milliseconds()),
			})
		}
	}

	return news
}

// SetRelay says whether this instance is a relay: one that is none tells relays of itself
// alone.
func (s *Scheduler) SetRelay(relay bool) { s.relay.Store(relay) }

// UpdateReady returns a channel that is told when there is news for an audience.
func (s *Scheduler) UpdateReady(to Audience) <-chan struct{} { return s.outboxes[to].wake.C() }

func tokens(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// ApplyUpdate takes another instance's news in, and notes what of it is to be passed on.
// Servers that are not known here are passed over.
func (s *Scheduler) ApplyUpdate(now time.Time, from fleet.InstanceID, as SenderRole, n ServerUpdate) {
	byKey := s.byKey.Load()
	if byKey == nil {
		return
	}

	for _, b := range n.Backlogs {
		if one := (*byKey)[b.Server]; one != nil {
			one.hearBacklog(now, from, as, int64(b.Tokens))
			s.changed(one, nil, as == Subscriber)
		}
	}

	for _, h := range n.Holdings {
		if one := (*byKey)[h.Server]; one != nil {
			s.holds(now, one, h.Parts, as == Subscriber)
		}
	}

	for _, key := range n.Ended {
		if one := (*byKey)[key]; one != nil {
			s.ended(now, one, as == Subscriber)
		}
	}

	for _, l := range n.Limits {
		if one := (*byKey)[l.Server]; one != nil && l.Rate.Valid() {
			s.receiveLimit(now, one, l, as == Subscriber)
		}
	}

	for _, l := range n.Loads {
		if one := (*byKey)[l.Server]; one != nil {
			one.hear(now.Add(-time.Duration(l.AgeMs)*time.Millisecond), int(l.Requests))
			s.loaded(one, as == Subscriber)
		}
	}
}

// changed notes for others that a server's backlog changed, or parts that it holds. What
// relays tell goes no further up.
func (s *Scheduler) changed(one *server, parts []Key, up bool) {
	s.outboxes[Downstream].changed(one, parts)

	if up {
		s.outboxes[Upstream].changed(one, parts)
	}
}

// holds takes in that a server holds parts, and notes it for others that have not been
// told of late.
func (s *Scheduler) holds(now time.Time, one *server, parts []Key, up bool) {
	if one.holdNew(now, parts) {
		s.changed(one, parts, up)
	}
}

// ended keeps requests off a server whose program has ended, and notes that for others
// that have not been told of late.
func (s *Scheduler) ended(now time.Time, one *server, up bool) {
	if !one.end(now) {
		return
	}

	s.outboxes[Downstream].ended(one)

	if up {
		s.outboxes[Upstream].ended(one)
	}
}

func (s *Scheduler) loaded(one *server, up bool) {
	s.outboxes[Downstream].loaded(one)

	if up {
		s.outboxes[Upstream].loaded(one)
	}
}

// backlogs are those of other instances at one server.
type backlogs struct {
	of map[fleet.InstanceID]heardBacklog
}

type heardBacklog struct {
	tokens int64
	at     time.Time
	as     SenderRole
}

func (b *backlogs) hear(now time.Time, from fleet.InstanceID, as SenderRole, tokens int64) {
	if b.of == nil {
		b.of = make(map[fleet.InstanceID]heardBacklog)
	}

	if tokens == 0 {
		delete(b.of, from)

		return
	}

	b.of[from] = heardBacklog{tokens: tokens, at: now, as: as}
}

// sum returns the tokens that senders of some kinds have waiting, as far as it was told
// lately.
func (b *backlogs) sum(now time.Time, fits func(SenderRole) bool) int64 {
	sum := int64(0)

	for from, one := range b.of {
		if now.Sub(one.at) > backlogLife {
			delete(b.of, from)

			continue
		}

		if fits(one.as) {
			sum += one.tokens
		}
	}

	return sum
}

// ofSubscribers and ofOthers are the senders whose backlogs an audience is told.
func ofSubscribers(s SenderRole) bool { return s == Subscriber }
func ofOthers(s SenderRole) bool      { return s != Relay }
func ofRelay(s SenderRole) bool       { return s == Relay }
