package logstream

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// The defaults of a client's settings.
const (
	DefaultAppendsPerSecond = 20
	DefaultBurst            = 4
	DefaultMaxBatchBytes    = 64 << 10
	DefaultMaxQueueBytes    = 4 << 20
	DefaultAppendTimeout    = 2 * time.Second
	DefaultReadWait         = time.Second
	DefaultReadLimit        = 256
	DefaultDownAfter        = 3 * time.Second
)

// Client appends entries of one writer to one stream and reads the stream for
// its subscribers. Set the exported fields before Run.
type Client struct {
	Log         provider.Log
	Clock       clock.Clock
	Stream      provider.Stream
	Writer      fleet.InstanceID
	Incarnation fleet.Incarnation
	// From is the offset to read from; zero means the oldest retained.
	From provider.Offset
	// AppendsPerSecond is this writer's share of the log's appends, and Burst
	// how many may follow each other after silence.
	AppendsPerSecond float64
	Burst            float64
	MaxBatchBytes    int
	MaxQueueBytes    int
	AppendTimeout    time.Duration
	// ReadWait is how long one read waits for a record, ReadLimit how many it
	// takes at most.
	ReadWait  time.Duration
	ReadLimit int
	// MaxDelay must be the same for all clients of a stream.
	MaxDelay time.Duration
	// Retention is how long the log keeps a record at least.
	Retention time.Duration
	// DownAfter is the time without a successful read, or with an append that
	// got no answer, after which the log counts as down.
	DownAfter time.Duration
	// Rand brings the jitter of waits.
	Rand *rand.Rand
	// Subscribers take what is read.
	Subscribers []Subscriber

	once     sync.Once
	mu       sync.Mutex
	outbox   outbox
	filter   Filter
	readerBO Backoff
	wake     chan struct{}
	ready    chan struct{}
	isReady  bool
	goal     provider.Offset
	started  time.Time
	lastRead atomic.Int64
	// appendFailing is when appends began to fail, in nanoseconds, or zero.
	appendFailing atomic.Int64
	counters      *counters
}

func (c *Client) init() {
	c.once.Do(func() {
		c.AppendsPerSecond = cmp.Or(c.AppendsPerSecond, DefaultAppendsPerSecond)
		c.Burst = cmp.Or(c.Burst, DefaultBurst)
		c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, DefaultMaxBatchBytes)
		c.MaxQueueBytes = cmp.Or(c.MaxQueueBytes, DefaultMaxQueueBytes)
		c.AppendTimeout = cmp.Or(c.AppendTimeout, DefaultAppendTimeout)
		c.ReadWait = cmp.Or(c.ReadWait, DefaultReadWait)
		c.ReadLimit = cmp.Or(c.ReadLimit, DefaultReadLimit)
		c.MaxDelay = cmp.Or(c.MaxDelay, DefaultMaxDelay)
		c.DownAfter = cmp.Or(c.DownAfter, DefaultDownAfter)

		if c.Rand == nil {
			c.Rand = rand.New(rand.NewPCG(uint64(c.Incarnation), uint64(len(c.Writer))))
		}

		c.wake = make(chan struct{}, 1)
		c.ready = make(chan struct{})
		c.filter.MaxDelay = c.MaxDelay
		c.started = c.Clock.Now()
		c.counters = newCounters(c.Stream)
		c.readerBO.Rand = rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))
		c.outbox = outbox{
			writer:        c.Writer,
			incarnation:   c.Incarnation,
			maxBatchBytes: c.MaxBatchBytes,
			maxQueueBytes: c.MaxQueueBytes,
			ledger:        Ledger{Rate: c.AppendsPerSecond, Burst: c.Burst},
			backoff:       Backoff{Rand: c.Rand},
		}
	})
}

// Append queues an entry. It never waits.
func (c *Client) Append(kind Kind, payload []byte) *Ticket {
	c.init()
	c.mu.Lock()
	ticket := c.outbox.add(kind, payload)
	c.mu.Unlock()
	c.signal()

	return ticket
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run appends and reads until ctx ends. Results that are open then become
// ErrUnresolved.
func (c *Client) Run(ctx context.Context) error {
	c.init()

	var wg conc.WaitGroup
	wg.Go(func() { c.runWriter(ctx) })
	wg.Go(func() { c.runReader(ctx) })
	wg.Wait()

	c.mu.Lock()
	c.outbox.abandon()
	c.mu.Unlock()

	return nil
}

func (c *Client) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		p, wait, err := c.outbox.take(c.Clock.Now())
		c.mu.Unlock()

		if err != nil {
			klog.ErrorS(err, "Journal batch can't be encoded", "stream", c.Stream)
			c.answered(p.first, provider.ErrRefused)

			continue
		}

		if p.data != nil {
			c.send(ctx, p)

			continue
		}

		c.pause(ctx, wait)
	}
}

func (c *Client) pause(ctx context.Context, wait time.Duration) {
	var timer <-chan time.Time
	if wait != idle {
		timer = c.Clock.After(wait)
	}

	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-timer:
	}
}

func (c *Client) send(ctx context.Context, p parcel) {
	c.counters.appends.Inc()
	c.counters.appendBytes.Add(len(p.data))

	callCtx, cancel := withTimeout(ctx, c.Clock, c.AppendTimeout)
	defer cancel()

	_, err := c.Log.Append(callCtx, c.Stream, p.data)
	c.answered(p.first, err)
}

func (c *Client) answered(first Sequence, err error) {
	now := c.Clock.Now()

	if err == nil {
		c.appendFailing.Store(0)
	} else {
		c.counters.appendFailures.Inc()
		c.appendFailing.CompareAndSwap(0, now.UnixNano())
	}

	c.mu.Lock()
	c.outbox.answered(now, first, err)
	c.mu.Unlock()
}
