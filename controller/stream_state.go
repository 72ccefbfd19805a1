package controller

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"monsoonlever/codec"
	"monsoonlever/lease"
	"monsoonlever/logstream"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// The kinds of the entries on the stream.
const (
	kindLease = logstream.KindFirst + iota
	kindIntent
	kindCheckpoint
)

// streamState is the position on the stream and whether the state of the role is known.
type streamState struct {
	// stateKnown is set once the state of the role is known. Until then entries are buffered,
	// because they may follow the checkpoint from which the state is restored.
	stateKnown bool
	// horizon is the start of the retained part of the stream, zero if all of it is retained.
	horizon  time.Time
	buffered []logstream.Entry
	// asOf and asOfTime are the offset and time of the last entry that was read.
	asOf     provider.Offset
	asOfTime time.Time
	// checkpointReadAt is when a checkpoint of the role was last read.
	checkpointReadAt time.Time
}

var _ logstream.Subscriber = (*Controller)(nil)

// Horizon implements logstream.Subscriber. If entries before since are missing, the controller waits
// for a checkpoint.
func (c *Controller) Horizon(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.stream.horizon = since
	c.stream.buffered = nil
	c.stream.stateKnown = since.IsZero()

	if !c.stream.stateKnown {
		klog.InfoS("older controller records expired; waiting for a checkpoint", "since", since)
	}
}

// Entries implements logstream.Subscriber.
func (c *Controller) Entries(entries []logstream.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.Clock.Now()

	for _, e := range entries {
		c.stream.asOf = e.Offset()
		c.stream.asOfTime = e.Time()

		if c.stream.stateKnown {
			c.apply(now, e)

			continue
		}

		c.stream.buffered = append(c.stream.buffered, e)
		c.restore(now, e)
	}
}

// apply applies one entry to the known state.
func (c *Controller) apply(now time.Time, e logstream.Entry) {
	switch e.Kind() { //nolint:exhaustive // fences are not delivered as entries
	case kindLease:
		var record lease.Record
		if c.decode(e, &record) {
			c.observe(now, e.Offset(), record)
		}
	case kindIntent:
		var record placement.Record
		if c.decode(e, &record) {
			c.reconciler.Read(record)
		}
	case kindCheckpoint:
		var checkpoint Checkpoint
		if c.decode(e, &checkpoint) && checkpoint.Lease.Role == c.core.Role() {
			c.stream.checkpointReadAt = now
		}
	}
}

// observe applies a lease record, and reports a new grant to the reconciler.
func (c *Controller) observe(now time.Time, offset provider.Offset, record lease.Record) {
	before := c.core.Snapshot()
	c.core.Observe(now, offset, record)
	after := c.core.Snapshot()

	if after.Last != before.Last {
		c.leaseSeenAt = now
	}

	if after.Fence != before.Fence {
		c.reconciler.Grant(after.Fence)
		c.counters.grants.Inc()
	}
}

// restore restores the state from the checkpoint in e if every entry after that checkpoint was
// buffered, and then applies those entries.
func (c *Controller) restore(now time.Time, e logstream.Entry) {
	var checkpoint Checkpoint
	if e.Kind() != kindCheckpoint || !c.decode(e, &checkpoint) {
		return
	}

	if checkpoint.Lease.Role != c.core.Role() || checkpoint.AsOfTime.Before(c.stream.horizon) {
		return
	}

	c.core.Restore(now, checkpoint.Lease)

	if c.reconciler.Ledger().Fence() <= checkpoint.Intents.Fence {
		c.reconciler.Ledger().Restore(checkpoint.Intents)
	}

	kept := c.stream.buffered
	c.stream.buffered = nil
	c.stream.stateKnown = true
	c.leaseSeenAt = now

	for _, k := range kept {
		if k.Offset() > checkpoint.AsOf {
			c.apply(now, k)
		}
	}
}

func (c *Controller) decode(e logstream.Entry, into any) bool {
	err := codec.Unmarshal(e.Payload(), into)
	if err != nil {
		c.counters.undecodable.Inc()
	}

	return err == nil
}

// append encodes a message and queues it for the log.
func (c *Controller) append(kind logstream.Kind, message any) *logstream.Ticket {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		// The messages are plain structs of this module, which always encode.
		panic(err)
	}

	return c.journal.Append(kind, payload)
}
