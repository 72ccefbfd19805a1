package logstream

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// queued is an entry that has not been sent.
type queued struct {
	item   Item
	ticket *Ticket
}

// flight is a batch that was sent and whose result is not final.
type flight struct {
	first   Sequence
	last    Sequence
	tickets []*Ticket
	// unknown is set if only reading can tell the result.
	unknown bool
}

// outbox decides what a writer appends and when. It is a step machine: it
// holds no goroutine, clock or connection.
type outbox struct {
	writer        fleet.InstanceID
	incarnation   fleet.Incarnation
	maxBatchBytes int
	maxQueueBytes int
	ledger        Ledger
	backoff       Backoff

	queue       []queued
	queuedBytes int
	flights     []flight
	next        Sequence
	written     time.Time
	notBefore   time.Time
	sending     bool
	// probing is set after a failure until an append succeeds. Without it a
	// writer that has nothing to append would never learn that the log is back.
	probing bool
}

// parcel is one append to make.
type parcel struct {
	first Sequence
	data  []byte
}

// itemOverhead is the room of an item's headers in a batch.
const itemOverhead = 12

func (o *outbox) add(kind Kind, payload []byte) *Ticket {
	ticket := newTicket()
	size := len(payload) + itemOverhead

	if o.queuedBytes+size > o.maxQueueBytes {
		ticket.resolve(0, merry.Wrap(ErrRefused, merry.AppendMessage("queue is full")))

		return ticket
	}

	o.queuedBytes += size
	o.queue = append(o.queue, queued{item: Item{Kind: kind, Payload: payload}, ticket: ticket})

	return ticket
}

// idle is the wait returned if there is nothing to append.
const idle = time.Duration(-1)

// take returns the next append to make, or how long to wait for it.
func (o *outbox) take(now time.Time) (parcel, time.Duration, error) {
	if o.sending || (len(o.queue) == 0 && !o.needsFence()) {
		return parcel{}, idle, nil
	}

	if wait := o.notBefore.Sub(now); wait > 0 {
		return parcel{}, wait, nil
	}

	if wait := o.ledger.Take(now); wait > 0 {
		return parcel{}, wait, nil
	}

	items, tickets := o.fill()
	if now.After(o.written) {
		o.written = now
	}

	b := Batch{
		Writer:       o.writer,
		Incarnation:  o.incarnation,
		WrittenMilli: o.written.UnixMilli(),
		First:        o.next + 1,
		Items:        items,
	}
	o.next = b.Last()
	o.sending = true
	o.flights = append(o.flights, flight{first: b.First, last: b.Last(), tickets: tickets})

	data, err := b.Encode()

	return parcel{first: b.First, data: data}, 0, err
}

// needsFence tells whether a result, or the end of a failure, can become known
// only by a later batch.
func (o *outbox) needsFence() bool {
	if o.probing {
		return true
	}

	for _, f := range o.flights {
		if f.unknown {
			return true
		}
	}

	return false
}

// fill takes entries off the queue up to the size of a batch, or makes a fence.
func (o *outbox) fill() ([]Item, []*Ticket) {
	if len(o.queue) == 0 {
		return []Item{{Kind: KindFence}}, nil
	}

	var (
		items   []Item
		tickets []*Ticket
		bytes   int
	)

	for _, q := range o.queue {
		size := len(q.item.Payload) + itemOverhead
		if len(items) > 0 && (bytes+size > o.maxBatchBytes || len(items) == maxEntries) {
			break
		}

		bytes += size
		items = append(items, q.item)
		tickets = append(tickets, q.ticket)
	}

	o.queue = o.queue[len(items):]
	o.queuedBytes -= bytes

	return items, tickets
}

// answered takes the log's answer to the append of a parcel. Success isn't
// final: only reading the batch back is.
func (o *outbox) answered(now time.Time, first Sequence, err error) {
	o.sending = false
	o.probing = err != nil

	if err == nil {
		o.backoff.Succeeded()

		return
	}

	o.notBefore = now.Add(o.backoff.Failed())

	if errors.Is(err, provider.ErrRefused) {
		o.refused(first, err)

		return
	}

	o.doubt(first)
}

// refused ends a flight that certainly isn't on the log.
func (o *outbox) refused(first Sequence, err error) {
	for i, f := range o.flights {
		if f.first != first {
			continue
		}

		o.flights = append(o.flights[:i], o.flights[i+1:]...)
		settle(f, 0, merry.Wrap(ErrRefused, merry.AppendMessage(err.Error())))

		return
	}
}

// doubt marks a flight as one that must be read, or else fenced.
func (o *outbox) doubt(first Sequence) {
	for i := range o.flights {
		if o.flights[i].first == first {
			o.flights[i].unknown = true
		}
	}
}

// accepted takes an own batch that was read and is in effect. All flights
// before it that are still open can never take effect any more.
func (o *outbox) accepted(first Sequence, offset provider.Offset) {
	kept := o.flights[:0]

	for _, f := range o.flights {
		switch {
		case f.first == first:
			settle(f, offset, nil)
		case f.first < first:
			settle(f, 0, merry.Wrap(ErrDead))
		default:
			kept = append(kept, f)
		}
	}

	o.flights = kept
}

// abandon ends everything open with ErrUnresolved, and what was never sent
// with ErrRefused.
func (o *outbox) abandon() {
	o.lose()

	for _, q := range o.queue {
		q.ticket.resolve(0, merry.Wrap(ErrRefused, merry.AppendMessage("client stopped")))
	}

	o.queue = nil
	o.queuedBytes = 0
}

// lose ends all flights with ErrUnresolved.
func (o *outbox) lose() {
	for _, f := range o.flights {
		settle(f, 0, merry.Wrap(ErrUnresolved))
	}

	o.flights = nil
}

func settle(f flight, offset provider.Offset, err error) {
	for _, t := range f.tickets {
		t.resolve(offset, err)
	}
}
