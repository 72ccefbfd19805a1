package logstream

import (
	"cmp"
	"context"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/provider"
)

// runReader reads the stream from the start offset on until ctx ends.
func (c *Client) runReader(ctx context.Context) {
	from := c.From
	begun := false

	for ctx.Err() == nil {
		wait := c.ReadWait
		if !begun {
			// An empty stream must not hold up Ready.
			wait = 0
		}

		batch, err := c.read(ctx, max(from, 1), wait)
		if err != nil {
			c.counters.readFailures.Inc()
			clock.Sleep(ctx, c.Clock, c.readerBO.Failed())

			continue
		}

		c.readerBO.Succeeded()
		c.lastRead.Store(c.Clock.Now().UnixNano())

		if !begun || batch.First > from {
			c.horizon(batch, begun)
		}

		begun = true
		from = c.deliver(batch, max(from, batch.First))
		c.progress(batch, from)
	}
}

func (c *Client) read(ctx context.Context, from provider.Offset, wait time.Duration) (provider.Batch, error) {
	callCtx, cancel := withTimeout(ctx, c.Clock, wait+c.AppendTimeout)
	defer cancel()

	return c.Log.Read(callCtx, c.Stream, from, c.ReadLimit, wait)
}

// horizon tells the subscribers how far back the history is complete.
func (c *Client) horizon(batch provider.Batch, gap bool) {
	if gap {
		klog.InfoS("Journal records aged out unread", "stream", c.Stream, "first", batch.First)
		c.mu.Lock()
		c.outbox.lose()
		c.mu.Unlock()
	}

	since := Horizon(batch, c.Clock.Now(), c.Retention, c.MaxDelay)
	for _, s := range c.Subscribers {
		s.Horizon(since)
	}
}

// Horizon returns the time since which a history that starts with batch is
// complete: zero if the stream is whole, else the time of the first record or,
// where that is earlier, the time that the log surely still retains. Twice
// maxDelay are added, within which records may be judged otherwise by a reader
// that knows what came before them.
func Horizon(batch provider.Batch, now time.Time, retention, maxDelay time.Duration) time.Time {
	if batch.First <= 1 {
		return time.Time{}
	}

	since := now
	if len(batch.Records) > 0 {
		since = batch.Records[0].Time
	}

	if kept := now.Add(maxDelay - retention); retention > 0 && kept.Before(since) {
		since = kept
	}

	return since.Add(2 * maxDelay)
}

// deliver hands the accepted entries of a batch on and returns the offset to
// read next.
func (c *Client) deliver(batch provider.Batch, from provider.Offset) provider.Offset {
	var entries []Entry

	for _, r := range batch.Records {
		if r.Offset < from {
			continue
		}

		from = r.Offset + 1
		entries = append(entries, c.accept(r)...)
	}

	if len(entries) > 0 {
		c.counters.entries.Add(len(entries))

		for _, s := range c.Subscribers {
			s.Entries(entries)
		}
	}

	return from
}

// accept returns the entries of a record that is in effect, and settles the
// tickets that it decides.
func (c *Client) accept(r provider.Record) []Entry {
	b, drop := c.filter.Accept(r)
	c.counters.dropped(drop)

	if drop == Undecodable {
		c.reportUndecodable(r)

		return nil
	}

	own := b.Writer == c.Writer && b.Incarnation == c.Incarnation
	if own {
		c.settle(b, drop, r)
	}

	if drop != Kept {
		return nil
	}

	return split(b, r)
}

func (c *Client) reportUndecodable(r provider.Record) {
	if c.counters.reported {
		return
	}

	c.counters.reported = true
	klog.InfoS("Journal record can't be decoded; further ones are only counted",
		"stream", c.Stream, "offset", r.Offset, "bytes", len(r.Data))
}

func (c *Client) settle(b Batch, drop Drop, r provider.Record) {
	c.mu.Lock()

	if drop == Kept {
		c.outbox.accepted(b.First, r.Offset)
	} else {
		c.outbox.doubt(b.First)
	}

	c.mu.Unlock()
	c.signal()
}

func split(b Batch, r provider.Record) []Entry {
	entries := make([]Entry, 0, len(b.Items))

	for i, item := range b.Items {
		if item.Kind == KindFence {
			continue
		}

		by := Author{Writer: b.Writer, Incarnation: b.Incarnation, Sequence: b.First + Sequence(i)}
		entries = append(entries, NewEntry(by, item.Kind, item.Payload, Place{Offset: r.Offset, Time: r.Time}))
	}

	return entries
}

// progress closes Ready once the reader has reached the offset that was next
// when it started.
func (c *Client) progress(batch provider.Batch, from provider.Offset) {
	if c.isReady {
		return
	}

	c.goal = max(cmp.Or(c.goal, batch.Next), 1)
	if from >= c.goal {
		c.isReady = true
		close(c.ready)
	}
}

// Ready is closed once all entries that were on the log at the first read
// were delivered.
func (c *Client) Ready() <-chan struct{} {
	c.init()

	return c.ready
}

// ReadAge returns the time since the last successful read, or since the start.
func (c *Client) ReadAge() time.Duration {
	c.init()

	last := c.started
	if nanos := c.lastRead.Load(); nanos != 0 {
		last = time.Unix(0, nanos)
	}

	return c.Clock.Now().Sub(last)
}

// Healthy tells whether the log answered reads of late, and appends, if any
// were made.
func (c *Client) Healthy() bool {
	if c.ReadAge() > c.DownAfter {
		return false
	}

	failing := c.appendFailing.Load()

	return failing == 0 || c.Clock.Now().Sub(time.Unix(0, failing)) <= c.DownAfter
}
