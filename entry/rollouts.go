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

// rollouts is this instance's part in moving services to new versions: it knows the orders
// and the holder's decisions, counts, and plans where it holds the duties.
type rollouts struct {
	gate    rollout.Gate
	counter rollout.Counter
	table   rollout.Table

	policy      rollout.Policy
	clock       clock.Clock
	self        fleet.InstanceID
	incarnation fleet.Incarnation
	register    *register.Register
	// countDelay is the time in which the counts of all instances come to those that lead.
	countDelay func() time.Duration
	// heldFence returns the fence if this instance holds the duties, and write writes how far a
	// roll-out is.
	heldFence func() (lease.Fence, bool)
	write     func(ctx context.Context, s rollout.State, phase rollout.Phase, fence, number uint64) error

	// The rest is used by the goroutine of the duties alone.
	planners map[fleet.Service]*rollout.Planner
	// fence is that under which number writes were made, and written what they said.
	fence   lease.Fence
	number  uint64
	written map[fleet.Service]writtenStatus

	// updateRound says which of the updates the next heartbeat tells.
	updateRound atomic.Uint64
}

// writtenStatus is what was written of a service.
type writtenStatus struct {
	place uint64
	phase rollout.Phase
}

// trialCounts are what an instance counted while new versions are tried, for those that
// lead.
type trialCounts struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	Counts      []rollout.Count   `msgpack:"c"`
}

const (
	// trialCountBytes is what the counts of a route take beside names and paces, and paceBytes
	// what the count of a pace takes.
	trialCountBytes = 64
	paceBucketBytes = 7
	// maxUpdatesBytes is what messages on roll-outs take of a heartbeat at most, and updateBytes what
	// one takes beside its names.
	maxUpdatesBytes = 300
	updateBytes     = 70
)

// receiveOrders takes the operators' orders in.
func (r *rollouts) receiveOrders(entries []feed.Entry) {
	for _, e := range entries {
		if !platform.IsRolloutKey(e.Key) {
			continue
		}

		if len(e.Data) == 0 {
			klog.InfoS("order for a new version was removed, it goes on", "key", e.Key, "offset", e.At)

			continue
		}

		order, err := platform.DecodeRolloutOrder(e.Key, e.Data, uint64(e.At)+1)
		if err != nil {
			klog.ErrorS(err, "order for a new version is not taken", "offset", e.At)

			continue
		}

		if r.gate.AddOrder(r.clock.Now(), order) {
			klog.InfoS("new version ordered", "service", order.Service, "version", order.Target, "span", order.Duration, "offset", e.At)
		}
	}
}

// updates returns what the next heartbeat tells. Where not all fits, the next ones tell the
// rest.
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

// receive takes decisions in that were true after a time; the zero time is not known.
func (r *rollouts) receive(now time.Time, updates []rollout.Update, notBefore time.Time) {
	for _, u := range updates {
		at := time.Time{}
		if !notBefore.IsZero() && u.Age >= 0 {
			at = notBefore.Add(-u.Age)
		}

		r.gate.Apply(now, u.State, at)
	}
}

// counts returns the messages with what this instance counted of versions that are tried.
func (r *rollouts) counts() []trialCounts {
	var counts []rollout.Count

	for _, c := range r.counter.Counts() {
		if _, place, running := r.gate.InTrial(c.Service); running && place == c.Place {
			counts = append(counts, c)
		}
	}

	var messages []trialCounts

	for _, part := range pack(counts, func(c rollout.Count) int {
		return trialCountBytes + len(c.Service) + len(c.Route) + paceBucketBytes*(len(c.Old.Paces)+len(c.New.Paces))
	}) {
		messages = append(messages, trialCounts{Instance: r.self, Incarnation: r.incarnation, Counts: part})
	}

	return messages
}

// step plans what is ordered, if this instance holds the duties.
func (r *rollouts) step(ctx context.Context) {
	tasks := r.gate.Tasks()
	if len(tasks) == 0 {
		return
	}

	fence, held := r.heldFence()
	if !held {
		// What another holder decides meanwhile is in the gate.
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

// plan takes one step of one order.
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

// report writes how far a roll-out is, once, and tells whether that stands.
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
		klog.ErrorS(err, "state of a roll-out is not written", "service", s.Service, "phase", phase.String(),
			"fenced", errors.Is(err, platform.ErrFenced))

		return false
	}

	r.number++
	r.written[s.Service] = status

	return true
}

// observe gathers what is known of an order.
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

// newRollouts makes this instance's part. It holds no duty yet.
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
