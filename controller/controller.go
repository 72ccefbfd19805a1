// Package controller runs the controller of a region on any entry instance.
//
// The instance that holds the lease of the region's controller decides how many
// instances each service should have and in which failure domains, rolls out model
// versions, and records the cost of the instances. The decisions are made by the
// packages lease and placement. This package supplies them with the log entries and
// with the state of the cloud API and of the engines, and executes their commands.
//
// The lease is checked immediately before each call that changes an external system.
// If the log is unavailable, the term of the holder expires and the controller makes
// no more changes; running instances keep running.
//
// A controller without Act decides and reports what it would do. It sends engines the
// orders of a roll-out, but neither buys nor releases instances.
//
// # Usage
//
//	c := &controller.Controller{
//		Instance: "entry-1", Incarnation: incarnation, Region: "dk-east", Deployment: "kronvig",
//		Log: log, Cloud: cloud, Clock: clock.System{},
//		Manifest: inForce, Servers: servers, Costs: recorder, Metrics: set,
//	}
//	err := c.Run(ctx)
package controller

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/logstream"
	"monsoonlever/manifest"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

const (
	// DefaultAppendsPerSecond is the default append rate limit of the controller, many times the
	// rate that it needs.
	DefaultAppendsPerSecond = 1
	// tickInterval is the time between two steps.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one call, so that an order takes effect within the lease's MaxOrderDelay.
	callTimeout = 2 * time.Second
	// releaseTimeout bounds the wait until the record that releases the lease is on the log.
	releaseTimeout = time.Second
)

// Controller is the candidate of one entry instance for the controller role of its region. The
// exported fields are set before Run.
type Controller struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Region      fleet.Region
	// Deployment is the name of the deployment. The stream is named Deployment + ".control".
	Deployment string
	Log        provider.Log
	Cloud      provider.Cloud
	Clock      clock.Clock
	// AppendsPerSecond is the append rate limit of this instance; zero selects
	// DefaultAppendsPerSecond.
	AppendsPerSecond float64
	// Manifest returns the manifest in force, or nil.
	Manifest func() *manifest.Manifest
	Servers  Servers
	// Demand returns the measured load of a service. If nil, the load is estimated from the
	// requests in flight at the servers.
	Demand func(m *manifest.Manifest, s manifest.Service) placement.Load
	Costs  Costs
	// Act lets the controller buy and release instances.
	Act bool
	// Lease is the configuration of the lease; the zero value selects lease.DefaultConfig.
	Lease   lease.Config
	Metrics *metrics.Set

	once     sync.Once
	initErr  error
	calls    conc.WaitGroup
	counters *counters

	mu          sync.Mutex
	core        *lease.Core
	journal     *logstream.Client
	stream      streamState
	leaseTicket *logstream.Ticket
	leaseSeenAt time.Time
	reconciler  *placement.Reconciler
	planner     *planner
	grant       grantState
	// actedFence is the fencing token of the last step of the reconciler.
	actedFence lease.Fence
}

func (c *Controller) init() error {
	c.once.Do(func() { c.initErr = c.build() })

	return c.initErr
}

func (c *Controller) build() error {
	if c.Lease == (lease.Config{}) {
		c.Lease = lease.DefaultConfig()
	}

	core, err := lease.NewCore(c.Lease, RoleOf(c.Region), lease.Holder{Instance: c.Instance, Incarnation: c.Incarnation})
	if err != nil {
		return merry.Prepend(err, "prepare lease of the controller")
	}

	c.core = core
	c.counters = newCounters(c.Metrics)
	c.planner = newPlanner()
	c.reconciler = placement.NewReconciler(c.owner())
	c.reconciler.Refusals = c.planner.refusals
	c.journal = &logstream.Client{
		Log: c.Log, Clock: c.Clock, Stream: StreamOf(c.Deployment), Writer: c.Instance, Incarnation: c.Incarnation,
		AppendsPerSecond: cmp.Or(c.AppendsPerSecond, DefaultAppendsPerSecond),
		Subscribers:      []logstream.Subscriber{c},
	}

	return nil
}

// RoleOf returns the lease role of the controller of a region.
func RoleOf(region fleet.Region) lease.Role {
	return lease.Role("controller/" + string(region))
}

// StreamOf returns the stream to which the controllers of a deployment append.
func StreamOf(deployment string) provider.Stream {
	return provider.Stream(deployment + ".control")
}

// owner returns the prefix of the purchase tokens. It is unique for each deployment and region.
func (c *Controller) owner() string {
	return c.Deployment + "/" + string(c.Region)
}

// Run takes part in the election of the controller until ctx ends, and then releases the lease.
func (c *Controller) Run(ctx context.Context) error {
	if err := c.init(); err != nil {
		return err
	}

	log, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	var group conc.WaitGroup

	group.Go(func() { _ = c.journal.Run(log) })

	for ctx.Err() == nil {
		c.step(ctx)

		select {
		case <-ctx.Done():
		case <-c.Clock.After(tickInterval):
		}
	}

	c.calls.Wait()
	c.release()
	stop()
	group.Wait()

	return nil
}

// release releases the lease, so that a successor need not wait for the end of the term.
func (c *Controller) release() {
	c.mu.Lock()

	var ticket *logstream.Ticket
	for _, command := range c.core.Release(c.Clock.Now()) {
		ticket = c.append(kindLease, command.Record)
	}

	c.mu.Unlock()

	if ticket == nil {
		return
	}

	select {
	case <-ticket.Done():
	case <-c.Clock.After(releaseTimeout):
		klog.InfoS("release of the lease not confirmed; a successor waits for the end of the term", "role", c.core.Role())
	}
}

// step runs every periodic task that is due.
func (c *Controller) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.Clock.Now()
	m := c.Manifest()

	c.stepLease(now, m != nil)

	if m == nil {
		return
	}

	servers, listed := c.Servers.All()
	v := view{now: now, manifest: m, servers: inRegion(m, c.Region, servers), listed: listed}
	c.measure(v)

	fence, err := c.core.Check(now)
	if err != nil {
		c.endGrant()

		return
	}

	if fence != c.grant.fence {
		c.startGrant(now, fence)
	}

	c.checkpoint(now, m.LogRetention())
	c.list(ctx, now)
	c.countCost(v)
	c.plan(v)
	c.rollOut(ctx, v)

	if c.Act {
		c.act(ctx, v)
	}
}

// stepLease appends the records that the lease core requests. At most one lease record is pending
// at a time, so that none accumulate during an outage of the log.
func (c *Controller) stepLease(now time.Time, eligible bool) {
	c.core.SetCandidate(eligible && c.stream.stateKnown)

	if !c.isReady() {
		return
	}

	c.core.CaughtUp(now.Add(-c.journal.ReadAge()))

	if c.leaseTicket != nil && !isDone(c.leaseTicket) {
		return
	}

	for _, command := range c.core.Step(now) {
		c.leaseTicket = c.append(kindLease, command.Record)
	}
}

func (c *Controller) isReady() bool {
	select {
	case <-c.journal.Ready():
		return true
	default:
		return false
	}
}

func isDone(t *logstream.Ticket) bool {
	select {
	case <-t.Done():
		return true
	default:
		return false
	}
}

// startGrant resets the state that belongs to one grant: readings from before the grant are not
// used.
func (c *Controller) startGrant(now time.Time, fence lease.Fence) {
	c.grant = newGrantState(fence)
	c.counters.holder.Set(1)
	klog.InfoS("controller lease acquired", "role", c.core.Role(), "fence", fence, "act", c.Act, "at", now)
}

// endGrant discards the state of the grant after the lease was lost.
func (c *Controller) endGrant() {
	if c.grant.fence == 0 {
		return
	}

	klog.InfoS("controller lease lost", "role", c.core.Role(), "fence", c.grant.fence)
	c.counters.holder.Set(0)
	c.grant = grantState{}
}

// mayCall reports whether a call under a grant is allowed now, and counts the calls that are not.
func (c *Controller) mayCall(fence lease.Fence) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	current, err := c.core.Check(c.Clock.Now())
	if err != nil || current != fence {
		c.counters.withheld.Inc()

		return false
	}

	return true
}
