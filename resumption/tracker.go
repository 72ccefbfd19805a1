package resumption

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
	"monsoonlever/quarantine"
)

const (
	// sendInterval is the minimum time between two rounds of records.
	sendInterval = 20 * time.Millisecond
	// queryTimeout is how long a query waits for its reply: some round trips between failure
	// domains. maxQueries is how often it is sent, since datagrams are lost.
	queryTimeout = 35 * time.Millisecond
	maxQueries   = 2
)

// Tracker records the streams that this instance relays, holds records of others, and finds out
// where a stream began. Its exported fields are set before its first use.
type Tracker struct {
	Clock clock.Clock
	Self  fleet.InstanceID
	// Holders returns the instances that remember streams of a request, those that should first.
	// All instances that know the same others return the same.
	Holders func(quarantine.Fingerprint) []fleet.InstanceID
	// Send sends records to an instance, and Ask a query. Neither waits.
	Send func(to fleet.InstanceID, records []Record)
	Ask  func(to fleet.InstanceID, query Query)
	// Counters may be nil.
	Counters *Counters

	table   table
	outbox  outbox
	queries gossip.Requests[Reply]
}

// Begun records that a stream began, or goes on, at the version of its origin, and that it may be
// resumed for a lifetime.
func (t *Tracker) Begun(s Stream, o Origin, lifetime time.Duration) {
	now := t.Clock.Now()
	expires := now.Add(lifetime)
	t.table.add(now, s, o, expires)
	t.publish(now, s, o, expires)
}

// publish queues a record for the holders of a stream.
func (t *Tracker) publish(now time.Time, s Stream, o Origin, expires time.Time) {
	holders := t.Holders(s.Content)

	for _, id := range holders[:min(Copies, len(holders))] {
		if id != t.Self {
			t.outbox.add(id, recordOf(now, s, o, expires))
		}
	}
}

// HandOver sends all records to their holders, for an instance that stops.
func (t *Tracker) HandOver() {
	now := t.Clock.Now()
	t.table.each(now, func(s Stream, o Origin, expires time.Time) { t.publish(now, s, o, expires) })
}

// Receive records what another instance sent.
func (t *Tracker) Receive(records []Record) {
	now := t.Clock.Now()

	for _, r := range records {
		t.table.add(now, Stream{Content: r.Content, Attempt: r.Attempt}, Origin{Service: r.Service, Version: r.Version},
			now.Add(time.Duration(r.LifetimeMs)*time.Millisecond))
	}
}

// Len returns the number of records that this instance holds.
func (t *Tracker) Len() int { return t.table.len() }

// Origin returns where a stream began. It asks other instances, which takes a few milliseconds, if
// this one has no record. The error wraps ErrUnknown or ErrAmbiguous.
func (t *Tracker) Origin(ctx context.Context, s Stream) (Origin, error) {
	origin, result := t.table.find(t.Clock.Now(), s)
	if result == Unknown {
		return t.ask(ctx, s)
	}

	t.Counters.record(result, true)

	if result == Ambiguous {
		return Origin{}, ErrAmbiguous
	}

	return origin, nil
}

// ask asks all holders at once and returns the first origin that one of them knows.
func (t *Tracker) ask(ctx context.Context, s Stream) (Origin, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	holders := t.Holders(s.Content)
	asked := slices.DeleteFunc(slices.Clone(holders[:min(MaxHolders, len(holders))]), func(id fleet.InstanceID) bool { return id == t.Self })
	replies := t.askEach(askCtx, asked, s)
	replied, result := 0, Unknown

	for reply := range replies {
		replied++
		result = max(result, reply.Result)

		if reply.Result == Known {
			t.Counters.record(Known, false)

			return Origin{Service: reply.Service, Version: reply.Version}, nil
		}
	}

	t.Counters.record(result, false)

	if result == Ambiguous {
		return Origin{}, ErrAmbiguous
	}

	return Origin{}, merry.Appendf(ErrUnknown, "%d of %d instances replied", replied, len(asked))
}

// askEach asks instances at the same time. The channel is closed once each has replied, or has had
// its time.
func (t *Tracker) askEach(ctx context.Context, holders []fleet.InstanceID, s Stream) <-chan Reply {
	replies := make(chan Reply, len(holders))

	var group conc.WaitGroup

	for _, id := range holders {
		group.Go(func() {
			reply, ok := t.queries.Ask(ctx, t.Clock, queryTimeout, maxQueries, func(number uint64) {
				t.Ask(id, Query{From: t.Self, Number: number, Content: s.Content, Attempt: s.Attempt})
			})
			if ok {
				replies <- reply
			}
		})
	}

	go func() {
		group.Wait()
		close(replies)
	}()

	return replies
}

// HandleQuery returns the reply to a query of another instance.
func (t *Tracker) HandleQuery(q Query) Reply {
	origin, result := t.table.find(t.Clock.Now(), Stream{Content: q.Content, Attempt: q.Attempt})

	return Reply{Number: q.Number, Result: result, Service: origin.Service, Version: origin.Version}
}

// HandleReply delivers a reply to its query. One that comes too late is discarded.
func (t *Tracker) HandleReply(r Reply) { t.queries.Reply(r.Number, r) }

// Run sends records to their holders until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rounds := t.outbox.take()
		if len(rounds) == 0 {
			select {
			case <-t.outbox.wake.C():
			case <-ctx.Done():
			}

			continue
		}

		for to, records := range rounds {
			t.Send(to, records)
		}

		clock.Sleep(ctx, t.Clock, sendInterval)
	}
}
