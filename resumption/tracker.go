package resumption

import (
	"context"
	"slices"
	"sync/atomic"
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
	// restoreTimeout is how long a caller that resumes a stream waits for records to be read from the
	// log, a few times as long as a start takes, and restorePollInterval the time between two looks.
	restoreTimeout      = time.Second
	restorePollInterval = 50 * time.Millisecond
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
	// Recorder writes records to the log at the instance that RecorderID returns, to which Forward sends
	// them without waiting; nil if streams are not recorded.
	Recorder   *Recorder
	RecorderID func() fleet.InstanceID
	Forward    func(to fleet.InstanceID, records []Record)
	// Restores reports whether this instance may hold records, and so restores those in the log; nil if
	// it never does.
	Restores func() bool
	// Counters may be nil.
	Counters *Counters

	table table
	// outbox holds records for holders, and toRecorder those to be written to the log.
	outbox, toRecorder outbox
	queries            gossip.Requests[Reply]
	restored           atomic.Bool
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

	for i, id := range holders[:min(Copies, len(holders))] {
		switch {
		case id != t.Self:
			t.outbox.add(id, recordOf(now, s, o, expires))
		case i == 0:
			t.record([]Record{recordOf(now, s, o, expires)})
		}
	}
}

// record passes records on to be written to the log. The first holder of a stream does so.
func (t *Tracker) record(records []Record) {
	if t.Recorder == nil || len(records) == 0 {
		return
	}

	switch id := t.RecorderID(); id {
	case "":
	case t.Self:
		t.Recorder.Add(records)
	default:
		for _, r := range records {
			t.toRecorder.add(id, r)
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
	var toRecord []Record

	t.receive(records, func(r Record) {
		if holders := t.Holders(r.Content); len(holders) > 0 && holders[0] == t.Self {
			toRecord = append(toRecord, r)
		}
	})
	t.record(toRecord)
}

// receive adds records to the table, and calls added with those that are new.
func (t *Tracker) receive(records []Record, added func(Record)) {
	now := t.Clock.Now()

	for _, r := range records {
		if t.table.add(now, Stream{Content: r.Content, Attempt: r.Attempt}, Origin{Service: r.Service, Version: r.Version},
			now.Add(time.Duration(r.LifetimeMs)*time.Millisecond)) {
			added(r)
		}
	}
}

// markRestored records that the log was read.
func (t *Tracker) markRestored() { t.restored.Store(true) }

// restoring reports whether records are still to be read from the log.
func (t *Tracker) restoring() bool { return t.Restores != nil && !t.restored.Load() && t.Restores() }

// Len returns the number of records that this instance holds.
func (t *Tracker) Len() int { return t.table.len() }

// Origin returns where a stream began. It asks other instances, which takes a few milliseconds, if
// this one has no record, or if the caller names no attempt: others may hold records of further streams of
// the request. It asks again while instances that have just started read records from the log. The error
// wraps ErrUnknown or ErrAmbiguous.
func (t *Tracker) Origin(ctx context.Context, s Stream) (Origin, error) {
	for began := t.Clock.Now(); ; clock.Sleep(ctx, t.Clock, restorePollInterval) {
		origin, result := t.table.find(t.Clock.Now(), s)
		held := result != Unknown && s.Attempt != 0

		var unknown error

		switch {
		case held:
		case s.Attempt == 0:
			origin, result, unknown = t.askAll(ctx, s, origin, result)
		default:
			origin, result, unknown = t.ask(ctx, s)
		}

		pending := result == Pending || result == Unknown && t.restoring()
		if pending && ctx.Err() == nil && t.Clock.Now().Sub(began) < restoreTimeout {
			continue
		}

		t.Counters.record(result, held)

		switch result {
		case Known:
			return origin, nil
		case Ambiguous:
			return Origin{}, ErrAmbiguous
		default:
			return Origin{}, unknown
		}
	}
}

// ask asks all holders at once and returns the first origin that one of them knows. The error says why
// none does.
func (t *Tracker) ask(ctx context.Context, s Stream) (Origin, Result, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()

	asked := t.others(s)
	replied, result := 0, Unknown

	for reply := range t.askEach(askCtx, asked, s) {
		replied++
		result = max(result, reply.Result)

		if reply.Result == Known {
			return reply.origin(), Known, nil
		}
	}

	return Origin{}, result, errUnknown(replied, asked)
}

// askAll asks all holders at once and returns the origin that all records agree on, those of this instance
// among them. A holder that this instance knows for one of the first has to reply: this instance may have
// been out of step when another stream of the request began.
func (t *Tracker) askAll(ctx context.Context, s Stream, origin Origin, result Result) (Origin, Result, error) {
	asked := t.others(s)
	first := asked[:min(Copies-1, len(asked))]
	replied, firstReplied := 0, len(asked) == 0

	for reply := range t.askEach(ctx, asked, s) {
		replied++
		firstReplied = firstReplied || slices.Contains(first, reply.from)

		switch {
		case reply.Result == Known && result == Known && reply.origin() != origin:
			result = Ambiguous
		case reply.Result == Known && result == Unknown:
			origin, result = reply.origin(), Known
		default:
			result = max(result, reply.Result)
		}
	}

	if result == Known && !firstReplied {
		return Origin{}, Unknown, errUnknown(replied, asked)
	}

	return origin, result, errUnknown(replied, asked)
}

// others returns the holders of a stream beside this instance.
func (t *Tracker) others(s Stream) []fleet.InstanceID {
	holders := t.Holders(s.Content)

	return slices.DeleteFunc(slices.Clone(holders[:min(MaxHolders, len(holders))]), func(id fleet.InstanceID) bool { return id == t.Self })
}

func errUnknown(replied int, asked []fleet.InstanceID) error {
	return merry.Appendf(ErrUnknown, "%d of %d instances replied", replied, len(asked))
}

// holderReply is the reply of a holder.
type holderReply struct {
	Reply

	from fleet.InstanceID
}

func (r holderReply) origin() Origin { return Origin{Service: r.Service, Version: r.Version} }

// askEach asks instances at the same time. The channel is closed once each has replied, or has had
// its time.
func (t *Tracker) askEach(ctx context.Context, holders []fleet.InstanceID, s Stream) <-chan holderReply {
	replies := make(chan holderReply, len(holders))

	var group conc.WaitGroup

	for _, id := range holders {
		group.Go(func() {
			reply, ok := t.queries.Ask(ctx, t.Clock, queryTimeout, maxQueries, func(number uint64) {
				t.Ask(id, Query{From: t.Self, Number: number, Content: s.Content, Attempt: s.Attempt})
			})
			if ok {
				replies <- holderReply{Reply: reply, from: id}
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
	if result == Unknown && t.restoring() {
		result = Pending
	}

	return Reply{Number: q.Number, Result: result, Service: origin.Service, Version: origin.Version}
}

// HandleReply delivers a reply to its query. One that comes too late is discarded.
func (t *Tracker) HandleReply(r Reply) { t.queries.Reply(r.Number, r) }

// Run sends records to their holders and to the recorder until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rounds, recorded := t.outbox.take(), t.toRecorder.take()
		if len(rounds) == 0 && len(recorded) == 0 {
			select {
			case <-t.outbox.wake.C():
			case <-t.toRecorder.wake.C():
			case <-ctx.Done():
			}

			continue
		}

		for to, records := range rounds {
			t.Send(to, records)
		}

		for to, records := range recorded {
			t.Forward(to, records)
		}

		clock.Sleep(ctx, t.Clock, sendInterval)
	}
}
