package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/platform"
	"monsoonlever/register"
	"monsoonlever/rollout"
)

// rollouts handles the rollout of new versions at this instance: it knows the orders and the duty
// holder's decisions, counts the results of trials, and plans while it holds the duties.
type rollouts struct {
	gate    rollout.Gate
	counter rollout.Counter
	table   rollout.Table

	policy      rollout.Policy
	clock       clock.Clock
	self        fleet.InstanceID
	incarnation fleet.Incarnation
	register    *register.Register
	// countDelay returns the time in which the counts of all instances reach the leaders.
	countDelay func() time.Duration
	// heldFence returns the fence if this instance holds the duties, and write writes the status
	// of a rollout.
	heldFence func() (lease.Fence, bool)
	write     func(ctx context.Context, s rollout.State, phase rollout.Phase, fence, number uint64) error

	// The fields below are used by the goroutine of the duties alone.
	planners map[fleet.Service]*rollout.Planner
	// fence is the fence of the last writes, number how many there were under it, and written
	// their content by service.
	fence   lease.Fence
	number  uint64
	written map[fleet.Service]writtenStatus

	// updateRound selects which of the updates the next heartbeat carries.
	updateRound atomic.Uint64
}

// writtenStatus is the last status that was written for a service.
type writtenStatus struct {
	place uint64
	phase rollout.Phase
}

// trialCounts are an instance's counts for versions on trial, which it sends to the leaders.
type trialCounts struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Counts      []rollout.Count   `msgpack:"c"`
}

const (
	// trialCountBytes is the encoded size of the counts of a route without names and paces, and
	// paceBucketBytes that of one bucket of paces.
	trialCountBytes = 64
	paceBucketBytes = 7
	// maxUpdatesBytes bounds the rollout updates in a heartbeat, and updateBytes is the encoded
	// size of one without its names.
	maxUpdatesBytes = 300
	updateBytes     = 70
)

// receiveOrders adds the operators' rollout orders.
func (r *rollouts) receiveOrders(entries []feed.Entry) {
	for _, e := range entries {
		if !platform.IsRolloutKey(e.Key) {
			continue
		}

		if len(e.Data) == 0 {
			klog.InfoS("removal of a rollout order was ignored, the rollout continues", "key", e.Key, "offset", e.At)

			continue
		}

		order, err := platform.DecodeRolloutOrder(e.Key, e.Data, uint64(e.At)+1)
		if err != nil {
			klog.ErrorS(err, "order for a new version is not taken", "offset", e.At)

			continue
		}

		if r.gate.AddOrder(r.clock.Now(), order) {
			klog.InfoS("rollout of a new version was ordered", "service", order.Service, "version", order.Target, "span", order.Duration, "offset", e.At)
		}
	}
}

// updates returns the rollout updates for the next heartbeat. If not all of them fit, successive
// heartbeats carry successive batches.
func (r *rollouts) updates(now time.Time) []rollout.Update {
	batches := packWithin(r.gate.Updates(now), maxUpdatesBytes, func(u rollout.Update) int {
		n := updateBytes + len(u.State.Service) + len(u.State.Target)
		for _, v := range u.State.Avoid {
			n += len(v) + 1
		}

		return n
	})
	if len(batches) == 0 {
		return nil
	}

	return batches[r.updateRound.Add(1)%uint64(len(batches))]
}

// receive applies the decisions of a heartbeat that was sent after notBefore; the zero time is
// unknown.
func (r *rollouts) receive(now time.Time, updates []rollout.Update, notBefore time.Time) {
	for _, u := range updates {
		at := time.Time{}
		if !notBefore.IsZero() && u.Age >= 0 {
			at = notBefore.Add(-u.Age)
		}

		r.gate.Apply(now, u.State, at)
	}
}

// counts returns the messages with this instance's counts for versions on trial.
func (r *rollouts) counts() []trialCounts {
	var counts []rollout.Count

	for _, c := range r.counter.Counts() {
		if _, place, running := r.gate.InTrial(c.Service); running && place == c.Place {
			counts = append(counts, c)
		}
	}

	var messages []trialCounts

	for _, batch := range pack(counts, func(c rollout.Count) int {
		return trialCountBytes + len(c.Service) + len(c.Route) + paceBucketBytes*(len(c.Old.Paces)+len(c.New.Paces))
	}) {
		messages = append(messages, trialCounts{Instance: r.self, Incarnation: r.incarnation, Counts: batch})
	}

	return messages
}

// step plans all ordered rollouts, if this instance holds the duties.
func (r *rollouts) step(ctx context.Context) {
	tasks := r.gate.Tasks()
	if len(tasks) == 0 {
		return
	}

	fence, held := r.heldFence()
	if !held {
		// The gate receives what another holder decides in the meantime.
		clear(r.planners)

		return
	}

	if fence != r.fence {
		r.fence, r.number, r.written = fence, 0, make(map[fleet.Service]writtenStatus)
	}

	r.table.Record(r.self, r.incarnation, r.counter.Counts())

	for _, task := range tasks {
		r.plan(ctx, task)
	}
}

// plan takes one step of a rollout.
func (r *rollouts) plan(ctx context.Context, task rollout.Task) {
	now := r.clock.Now()
	planner := r.planner(task)
	observation := r.observe(task.Order)
	before := task.State

	state, complete := planner.Step(now, uint64(r.fence), observation)

	if complete && r.report(ctx, state, rollout.Completed) {
		planner.MarkCompleted(observation.OldVersions)
		state, _ = planner.Step(now, uint64(r.fence), observation)
	}

	r.gate.Apply(now, state, now)

	if state.Phase != before.Phase || state.Place != before.Place || state.Share != before.Share {
		klog.InfoS("roll-out", "service", state.Service, "version", state.Target, "phase", state.Phase.String(),
			"share", state.Share, "requests", state.Reached, "tried", state.Exposed, "oldServers", observation.OldServers,
			"newServers", observation.NewServers, "elapsed", state.Elapsed, "why", planner.Reason(), "fence", r.fence)
	}

	r.report(ctx, state, state.Phase)
}

func (r *rollouts) planner(task rollout.Task) *rollout.Planner {
	p := r.planners[task.Order.Service]
	if p == nil || p.Order != task.Order {
		p = &rollout.Planner{Policy: r.policy, Order: task.Order, FirstSeen: task.FirstSeen}
		p.Resume(task.State)
		r.planners[task.Order.Service] = p
	}

	return p
}

// report writes the status of a rollout unless it is already written, and reports whether it is.
func (r *rollouts) report(ctx context.Context, s rollout.State, phase rollout.Phase) bool {
	status := writtenStatus{place: s.Place, phase: phase}
	if r.written[s.Service] == status {
		return true
	}

	call, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()

	if fence, held := r.heldFence(); !held || fence != r.fence {
		return false
	}

	err := r.write(call, s, phase, uint64(r.fence), r.number+1)
	if err != nil {
		klog.ErrorS(err, "rollout status was not written", "service", s.Service, "phase", phase.String(),
			"fenced", errors.Is(err, platform.ErrFenced))

		return false
	}

	r.number++
	r.written[s.Service] = status

	return true
}

// observe collects what this instance knows of an ordered rollout.
func (r *rollouts) observe(o rollout.Order) rollout.Observation {
	observation := rollout.Observation{Routes: r.table.Routes(o), CountDelay: r.countDelay()}
	versions := make(map[fleet.Version]bool)

	for _, s := range r.register.Servers() {
		switch {
		case s.Service != o.Service || s.Leaving:
		case s.Version == o.Target:
			observation.NewServers++
		default:
			observation.OldServers++

			if !versions[s.Version] {
				versions[s.Version] = true
				observation.OldVersions = append(observation.OldVersions, s.Version)
			}
		}
	}

	return observation
}

// newRollouts creates the rollouts of an instance. build sets incarnation and heldFence once the
// duties exist.
func newRollouts(p *components) *rollouts {
	b := p.settings.Bounds
	r := &rollouts{
		policy: rollout.Policy{Share: b.TrialShare, Slack: b.TrialSlack, StopTimeout: b.TrialStop},
		clock:  p.clock, self: p.self(), register: p.register,
		countDelay: func() time.Duration { return p.countsInterval() + dutyInterval },
		write:      p.store.WriteRolloutStatus,
		planners:   make(map[fleet.Service]*rollout.Planner),
	}
	r.gate.GrantTTL = r.policy.GrantTTL()

	return r
}
