package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"monsoonlever/clock"
	"monsoonlever/fairqueue"
	"monsoonlever/fleet"
)

// Controller admits, queues or refuses the requests of one entry instance. Its fields are set
// before the first call of Configure.
type Controller struct {
	// Instance is the ID of this entry instance.
	Instance fleet.InstanceID
	// Sharing configures how limits are shared between the entry instances.
	Sharing Sharing
	// Seed makes the jitter of Decision.RetryAfter repeatable.
	Seed uint64
	// Clock and TickInterval drive Run; the default interval is 10 ms.
	Clock        clock.Clock
	TickInterval time.Duration
	// Metrics is the set in which the counters are registered; nil means a new set.
	Metrics *metrics.Set

	// newQueue is replaced in tests that compare queueing policies.
	newQueue func() queue

	table    atomic.Pointer[table]
	jitter   jitter
	counters *counters

	// sharesValidUntil is when the computed shares expire, in Unix nanoseconds.
	sharesValidUntil atomic.Int64

	mu     sync.Mutex
	shares shareCalculator
}

const (
	defaultTickInterval = 10 * time.Millisecond
	// rebalanceTicks is the number of ticks of Run between two rebalances.
	rebalanceTicks = 10
)

// ErrConfig is wrapped by the errors of Configure.
var ErrConfig = merry.Sentinel("admission config is not valid")

// Configure applies new limits. It may be called again at any time. Services and accounts that
// remain keep their measurements, and queued requests of removed services are refused.
func (c *Controller) Configure(now time.Time, config Config) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.initialize(now)

	next := &table{
		services: make(map[fleet.Service]*service, len(config.Services)),
		accounts: make(map[fleet.Account]*account, len(config.Accounts)),
	}

	for _, s := range config.Services {
		if next.services[s.Service] != nil {
			return merry.Wrap(ErrConfig, merry.AppendMessagef("service %s is listed twice", s.Service))
		}

		next.addService(c.serviceFor(s))
	}

	for _, a := range config.Accounts {
		if next.accounts[a.Account] != nil {
			return merry.Wrap(ErrConfig, merry.AppendMessagef("account %s is listed twice", a.Account))
		}

		next.addAccount(c.accountFor(a))
	}

	old := c.table.Swap(next)
	c.withdrawServices(now, old, next)
	c.rebalance(now, next)

	return nil
}

func (c *Controller) initialize(now time.Time) {
	if c.counters != nil {
		return
	}

	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}

	if c.newQueue == nil {
		c.newQueue = newFairQueue
	}

	c.counters = newCounters(c.Metrics)
	c.jitter.seed = c.Seed
	c.shares.configure(now, c.Sharing.withDefaults())
}

func (c *Controller) serviceFor(config ServiceConfig) *service {
	config = config.withDefaults()

	if t := c.table.Load(); t != nil {
		if s := t.services[config.Service]; s != nil {
			s.configure(config)

			return s
		}
	}

	s := &service{
		name:     config.Service,
		jitter:   &c.jitter,
		counters: c.counters,
		queue:    c.newQueue(),
		deadlines: fairqueue.NewHeap(
			func(a, b *Ticket) bool { return a.latestStart.Before(b.latestStart) },
			func(t *Ticket) *int { return &t.deadlinePosition },
		),
	}
	s.configure(config)

	return s
}

func (c *Controller) accountFor(config AccountConfig) *account {
	config = config.withDefaults()

	if t := c.table.Load(); t != nil {
		if a := t.accounts[config.Account]; a != nil {
			old := a.limits.Load()
			a.limits.Store(&limits{config: config, share: old.share, evenShare: old.evenShare})

			return a
		}
	}

	a := &account{name: config.Account, hash: xxhash.Sum64String(string(config.Account))}
	a.limits.Store(&limits{config: config})

	return a
}

func (c *Controller) withdrawServices(now time.Time, old, next *table) {
	if old == nil {
		return
	}

	for _, s := range old.serviceList {
		if next.services[s.name] == nil {
			s.withdraw(now)
		}
	}
}

// Admit admits, queues or refuses a request.
func (c *Controller) Admit(now time.Time, r Request) *Ticket {
	t := &Ticket{request: r, arrivedAt: now}
	snapshot := c.table.Load()

	if snapshot == nil || snapshot.services[r.Service] == nil {
		return c.refuse(t, UnknownService, 0)
	}

	t.service = snapshot.services[r.Service]
	t.account = snapshot.accounts[r.Account]

	if t.account == nil {
		return c.refuse(t, UnknownAccount, 0)
	}

	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return c.refuse(t, DeadlineTooShort, 0)
	}

	if now.UnixNano() > c.sharesValidUntil.Load() {
		// This instance was paused. In the meantime, other instances may have taken over
		// its shares.
		c.Rebalance(now)
	}

	if got := t.account.acquire(now, &t.request); got.reason != NoReason {
		return c.refuse(t, got.reason, got.retryAfter)
	}

	if t.service.queued.Load() == 0 && t.service.limiter.acquire() {
		c.counters.admitted.Inc()
		t.decision = Decision{Verdict: Admitted}

		return t
	}

	t.latestStart = t.service.latestStart(&t.request)
	t.service.enqueue(now, t)

	return t
}

// refuse refuses a request that consumed nothing of its account's limits.
func (c *Controller) refuse(t *Ticket, r Reason, wait time.Duration) *Ticket {
	if c.counters != nil {
		c.counters.refused[r].Inc()
	}

	t.decision = Decision{Verdict: Refused, Reason: r, RetryAfter: c.jitter.retryAfter(wait)}

	return t
}

// Finish records the outcome of an admitted request and frees its slot. Further calls for the same
// ticket have no effect.
func (c *Controller) Finish(now time.Time, t *Ticket, o Outcome) {
	if d, final := t.Decision(); !final || d.Verdict != Admitted || !t.finished.CompareAndSwap(false, true) {
		return
	}

	waited := t.decision.Waited
	o.Latency = max(o.Latency-waited, 0)
	o.Duration = max(o.Duration-waited, 0)

	t.account.finish(now, &t.request, o)
	t.service.finish(now, t, o)
}

// Abandon removes a request from the queue, because its caller stopped waiting. It returns false if
// the request was already decided; if it was admitted, it must still be finished.
func (c *Controller) Abandon(now time.Time, t *Ticket) bool {
	if _, final := t.Decision(); final {
		return false
	}

	return t.service.abandon(now, t)
}

// Tick starts queued requests for which a slot is free, and refuses those that can no longer meet
// their deadline. Run calls it.
func (c *Controller) Tick(now time.Time) {
	snapshot := c.table.Load()
	if snapshot == nil {
		return
	}

	for _, s := range snapshot.serviceList {
		s.tick(now)
	}
}

// SetCapacity bounds the concurrency of a service on this instance by its share of the capacity
// that backend servers report; zero removes the bound.
func (c *Controller) SetCapacity(name fleet.Service, concurrent int) {
	snapshot := c.table.Load()
	if snapshot == nil || snapshot.services[name] == nil {
		return
	}

	snapshot.services[name].limiter.setCapacity(concurrent)
}

// Run calls Tick and Rebalance periodically until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) error {
	interval := c.TickInterval
	if interval <= 0 {
		interval = defaultTickInterval
	}

	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(interval):
		}

		now := c.Clock.Now()
		c.Tick(now)

		if n%rebalanceTicks == 0 {
			c.Rebalance(now)
		}
	}
}
