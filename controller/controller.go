// Package controller runs the control of a region on any entry instance.
//
// The instance that holds the lease of the region's controller decides how many
// instances each service should have and where, rolls out model versions, and
// counts what the instances cost. The packages lease and placement decide; this
// package brings them the log, the cloud API and the engines, and carries their
// commands out.
//
// Right before each call that changes something the lease is checked. Without
// the log the term of the holder ends and it does nothing more: what runs goes
// on.
//
// A controller that may not act decides and shows what it would do. It gives
// engines the orders of a roll-out, but buys and releases nothing.
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
	// DefaultAppendsPerSecond is the share of the log's appends that control
	// takes, many times what it needs.
	DefaultAppendsPerSecond = 1
	// tickInterval is the time between two steps.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one call, so that an order ends within the lease's Flight.
	callTimeout = 2 * time.Second
	// releaseTimeout bounds the wait for the record that gives the lease up.
	releaseTimeout = time.Second
)

// Controller is the candidate of one entry instance for the control of its
// region. The exported fields are set before Run.
type Controller struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Region      fleet.Region
	// Deployment names the stream: the deployment's name and ".control".
	Deployment string
	Log        provider.Log
	Cloud      provider.Cloud
	Clock      clock.Clock
	// AppendsPerSecond is this instance's share; zero is the default.
	AppendsPerSecond float64
	// Manifest returns the manifest in force, or nil.
	Manifest func() *manifest.Manifest
	Servers  Servers
	// Demand returns the measured load of a service; nil estimates it from what
	// the servers report.
	Demand func(m *manifest.Manifest, s manifest.Service) placement.Load
	Costs  Costs
	// Act lets the controller buy and release instances.
	Act bool
	// Lease holds the times of the lease; zero is the default.
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
	// actedFence is the grant under which the reconciler last took a step.
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

// RoleOf returns the role of the controller of a region.
func RoleOf(region fleet.Region) lease.Role {
	return lease.Role("controller/" + string(region))
}

// StreamOf returns the stream on which the controllers of a deployment write.
func StreamOf(deployment string) provider.Stream {
	return provider.Stream(deployment + ".control")
}

// owner is the prefix of the purchase tokens. The stream keeps it apart for
// each deployment, and the region within that.
func (c *Controller) owner() string {
	return c.Deployment + "/" + string(c.Region)
}

// Run takes part in control until ctx ends, and then gives the lease up.
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

// release gives the lease up, so that a successor need not wait for its end.
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
		klog.InfoS("lease was not seen to be given up; a successor waits for its end", "role", c.core.Role())
	}
}

// step does what is due now.
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

// stepLease appends what the lease asks for. One record is under way at a time,
// so that an outage of the log leaves no heap of them.
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

// startGrant starts anew under a grant: nothing that was read before it counts.
func (c *Controller) startGrant(now time.Time, fence lease.Fence) {
	c.grant = newGrantState(fence)
	c.counters.holder.Set(1)
	klog.InfoS("this instance controls the region", "role", c.core.Role(), "fence", fence, "act", c.Act, "at", now)
}

// endGrant stops what only the holder does.
func (c *Controller) endGrant() {
	if c.grant.fence == 0 {
		return
	}

	klog.InfoS("this instance no longer controls the region", "role", c.core.Role(), "fence", c.grant.fence)
	c.counters.holder.Set(0)
	c.grant = grantState{}
}

// mayCall tells whether a call may be made under a grant at this moment.
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
