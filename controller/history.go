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

// history tells how much of the stream is known.
type history struct {
	// complete is set once the state of the role is known. Until then entries
	// are kept, because they come after the checkpoint that is waited for.
	complete bool
	since    time.Time
	kept     []logstream.Entry
	// asOf and asOfTime are the place of the last entry that was read.
	asOf     provider.Offset
	asOfTime time.Time
	// checkpointed is when a checkpoint of the role was last read.
	checkpointed time.Time
}

var _ logstream.Subscriber = (*Controller)(nil)

// Horizon implements logstream.Subscriber. What is older than since is not known,
// and a checkpoint is waited for.
func (c *Controller) Horizon(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.history.since = since
	c.history.kept = nil
	c.history.complete = since.IsZero()

	if !c.history.complete {
		klog.InfoS("older records of control have aged out; waiting for a checkpoint", "since", since)
	}
}

// Entries implements logstream.Subscriber.
func (c *Controller) Entries(entries []logstream.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.Clock.Now()

	for _, e := range entries {
		c.history.asOf = e.Offset()
		c.history.asOfTime = e.Time()

		if c.history.complete {
			c.apply(now, e)

			continue
		}

		c.history.kept = append(c.history.kept, e)
		c.restore(now, e)
	}
}

// apply takes in one entry under a known state.
func (c *Controller) apply(now time.Time, e logstream.Entry) {
	switch e.Kind() { //nolint:exhaustive // fences are no entries
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
			c.history.checkpointed = now
		}
	}
}

// observe passes a record of the lease on, and a grant to the intents.
func (c *Controller) observe(now time.Time, offset provider.Offset, record lease.Record) {
	before := c.core.Snapshot()
	c.core.Observe(now, offset, record)
	after := c.core.Snapshot()

	if after.Last != before.Last {
		c.seenAt = now
	}

	if after.Fence != before.Fence {
		c.reconciler.Grant(after.Fence)
		c.counters.grants.Inc()
	}
}

// restore starts from a checkpoint if every entry after it was kept.
func (c *Controller) restore(now time.Time, e logstream.Entry) {
	var checkpoint Checkpoint
	if e.Kind() != kindCheckpoint || !c.decode(e, &checkpoint) {
		return
	}

	if checkpoint.Lease.Role != c.core.Role() || checkpoint.AsOfTime.Before(c.history.since) {
		return
	}

	c.core.Restore(now, checkpoint.Lease)

	if c.reconciler.Ledger().Fence() <= checkpoint.Intents.Fence {
		c.reconciler.Ledger().Restore(checkpoint.Intents)
	}

	kept := c.history.kept
	c.history.kept = nil
	c.history.complete = true
	c.seenAt = now

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
