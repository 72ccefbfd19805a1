package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/board"
	"monsoonlever/capacity"
	"monsoonlever/clock"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/platform"
	"monsoonlever/register"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/settings"
	"monsoonlever/usage"
)

const (
	// dutyRole is the role of the instance that makes the calls to the cloud API.
	dutyRole lease.Role = "duties"
	// dutyInterval is the time between two rounds of the holder's work.
	dutyInterval = 400 * time.Millisecond
	// maxDutyCallDelay bounds the time from the check of the lease to the sending of a call. A
	// later call is refused because of its outdated fencing token.
	maxDutyCallDelay = 500 * time.Millisecond
	// dutyCallTimeout bounds one call to the cloud API.
	dutyCallTimeout = 1500 * time.Millisecond
	// termFactor makes the term of the lease longer than the shortest time after which the role
	// may return to an instance that lost it.
	termFactor = 1.6
	// minTermIntervals is the shortest term in record intervals: records carry the renewals, and
	// one may be lost.
	minTermIntervals = 2.2
	// renewShare is the fraction of a term after which it is renewed.
	renewShare = 0.3
	// usageSettleDelay is how long after the end of a window the counts of other instances are
	// awaited. It covers the interval of count messages, their forwarding by relays, and clock
	// differences.
	usageSettleDelay = 2500 * time.Millisecond
	// usageTimeoutShare is the fraction of the time until a report is due in which the report
	// waits for a silent instance.
	usageTimeoutShare = 0.6
)

// duties are the calls that one instance makes for all; the instance with the role dutyRole holds
// them.
type duties struct {
	settings    settings.Entry
	clock       clock.Clock
	cloud       *platform.Cloud
	members     *board.Members
	incarnation fleet.Incarnation
	// isLeader reports whether this instance may hold the role, and arriving returns the work that
	// arrives at all instances.
	isLeader func() bool
	arriving func(now time.Time) []scheduling.Work
	// utilization returns the fraction of a service's slots that is in use, if it is known.
	utilization func(now time.Time, service fleet.Service) (float64, bool)
	// totalPace returns the sum of the paces of a service's servers, if these tell it.
	totalPace func(now time.Time, service fleet.Service) (float64, bool)

	// wakeBoard requests a round of the board.
	wakeBoard func()
	// stepRollouts takes one step of the ordered rollouts, and inTrial returns the version of a
	// service that is on trial.
	stepRollouts func(ctx context.Context)
	inTrial      func(service fleet.Service) (fleet.Version, uint64, bool)
	rules        *atomic.Pointer[ruleset.Ruleset]
	register     *register.Register

	mu   sync.Mutex
	core *lease.Core
	// era is the newest era of the store in which the role was lost. rewriteReports is set while
	// finalized reports have to be recorded again.
	era            uint64
	rewriteReports bool
	ledger         *usage.Ledger
	// recordedWork is the work that arrived at all instances, as recorded by a leader.
	recordedWork []scheduling.Work
	planner      capacity.Planner
	// lastLogged is the plan that was logged last, by service.
	lastLogged map[fleet.Service]loggedPlan
	planGauges *planGauges
}

func newDuties(p *components) *duties {
	now := p.clock.Now()
	d := &duties{
		settings: p.settings, clock: p.clock, members: p.members, rules: &p.rules, register: p.register,
		wakeBoard:    func() { p.board.Wake() },
		isLeader:     p.isLeader,
		stepRollouts: p.rollouts.step,
		inTrial:      p.rollouts.gate.InTrial,
		arriving:     p.totalArrivals,
		utilization:  p.scheduler.Utilization,
		totalPace:    p.scheduler.TotalPace,
		lastLogged:   make(map[fleet.Service]loggedPlan),
		planGauges:   newPlanGauges(p.metrics),
		cloud:        platform.NewCloud(p.settings.Cloud, p.settings.Instance),
		incarnation:  fleet.Incarnation(now.UnixNano()),
		ledger: usage.NewLedger(usage.Policy{
			Width:         p.settings.Bounds.UsageWindow,
			SettleDelay:   usageSettleDelay,
			MemberTimeout: time.Duration(float64(p.settings.Bounds.UsageLate) * usageTimeoutShare),
			ReportTTL:     p.settings.Bounds.UsageLate,
		}, time.Now()),
	}

	term := time.Duration(max(p.settings.Bounds.Lease.Seconds()*termFactor, recordInterval.Seconds()*minTermIntervals) * float64(time.Second))
	config := lease.Config{
		Term: term, RenewInterval: time.Duration(float64(term) * renewShare),
		MaxDrift: 0.001, MaxOrderDelay: maxDutyCallDelay, MaxReadGap: memberTimeout, Stagger: time.Second, SingleProcess: true,
	}

	core, err := lease.NewCore(config, dutyRole, lease.Holder{Instance: p.settings.Instance, Incarnation: d.incarnation})
	if err != nil {
		// The durations are derived from validated settings.
		panic(err)
	}

	d.core = core

	return d
}

// addToRecord adds the lease, reports and plans of this instance to its record.
func (d *duties) addToRecord(now time.Time, r *board.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()

	state := d.core.Snapshot()
	if d.isLeader() {
		r.Lease = state
	}

	if len(d.settings.Duties) == 0 {
		return
	}

	if d.rewriteReports && d.isLeader() {
		d.rewriteReports = false
		r.Reports = d.ledger.Finalized(time.Now())
	}

	if !r.Leaving && state.Holder.Instance != d.settings.Instance {
		// A former holder may become a candidate again. Instances that rarely read the board don't
		// know whether the role is open.
		d.core.SetCandidate(d.isLeader())
	}

	for _, command := range d.core.Step(now) {
		r.Leases = append(r.Leases, command.Record)
	}

	if _, err := d.core.Check(now); err == nil {
		r.Reports = append(r.Reports, d.ledger.Due(time.Now(), d.members.IDs())...)
		r.Plans = d.planner.Plans(now)
	}
}

// addRelease adds the release of the role to the last record.
func (d *duties) addRelease(now time.Time, r *board.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, command := range d.core.Release(now) {
		r.Leases = append(r.Leases, command.Record)
	}
}

func (d *duties) receiveRecord(now time.Time, r board.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()

	before := d.core.Snapshot()
	d.receiveLease(now, r)

	if after := d.core.Snapshot(); after.Fence != before.Fence {
		klog.InfoS("duties are held", "holder", after.Holder.Instance, "fence", after.Fence)
	}

	d.ledger.AddCounts(time.Now(), r.Instance, r.Incarnation, r.Usage)

	if len(r.Work) > 0 {
		d.recordWork(scheduling.WithReadLoads(r.Work, r.ReadLoads))
	}

	if r.Instance != d.settings.Instance || r.Incarnation != d.incarnation {
		d.planner.Restore(now, r.Plans)
	}

	for _, report := range r.Reports {
		d.ledger.Finalize(report)
	}
}

// receiveLease applies the lease records of a board record. In a record from the older copy of a
// restored store, no grant can be relied on as the newest, so its leases are ignored. An instance
// that reads such a record when it starts waits as long as the others.
func (d *duties) receiveLease(now time.Time, r board.Record) {
	if era := feed.Position(r.Offset - 1).Era(); r.FromOldCopy {
		if era > d.era {
			d.era = era
			d.core.LogRolledBack(now)
		}

		return
	}

	d.core.Restore(now, r.Lease)

	for _, l := range r.Leases {
		d.core.Observe(now, r.Offset, l)
	}
}

// storeRestored handles a restore of the store from an older copy. Finalized reports are recorded
// again, so that the next reporter sends the same ones.
func (d *duties) storeRestored(now time.Time, era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.era, d.rewriteReports = era, true
	d.core.LogRolledBack(now)
}

// addCounts adds counts that were received directly.
func (d *duties) addCounts(counts *usageCounts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.AddCounts(time.Now(), counts.Instance, counts.Incarnation, counts.Usage)
}

func (d *duties) caughtUp(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.CaughtUp(now)
}

// run makes the calls that are due while this instance holds the role.
func (d *duties) run(ctx context.Context) {
	if len(d.settings.Duties) == 0 {
		return
	}

	for ctx.Err() == nil {
		if d.settings.HasDuty(settings.ReportUsage) {
			for _, report := range d.dueReports() {
				d.sendReport(ctx, report)
			}
		}

		if d.settings.HasDuty(settings.OrderServers) {
			d.placeOrders(ctx)
		}

		d.stepRollouts(ctx)
		d.requestRole()
		clock.Sleep(ctx, d.clock, dutyInterval)
	}
}

// requestRole requests a round of the board if this instance would acquire the role in it.
func (d *duties) requestRole() {
	d.mu.Lock()
	open := d.core.CanAcquire(d.clock.Now())
	d.mu.Unlock()

	if open {
		d.wakeBoard()
	}
}

func (d *duties) dueReports() []usage.Report {
	d.mu.Lock()
	defer d.mu.Unlock()

	if _, err := d.core.Check(d.clock.Now()); err != nil {
		return nil
	}

	return d.ledger.Unsent(time.Now())
}

// sendReport sends one report. If the response is lost, the report may have been accepted; it is
// sent again with the same counts.
func (d *duties) sendReport(ctx context.Context, report usage.Report) {
	call, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()

	fence, held := d.heldFence()
	if !held {
		return
	}

	err := d.cloud.ReportUsage(call, fence, report)

	d.mu.Lock()
	defer d.mu.Unlock()

	switch {
	case err == nil:
		d.ledger.MarkSent(report.Window)
	case errors.Is(err, platform.ErrFenced):
		d.core.Release(d.clock.Now())
		klog.InfoS("duties were lost", "fence", fence)
	}

	klog.InfoS("usage reported", "window", report.Window, "counts", report.Counts, "fence", fence, "err", err)
}

// heldFence returns the fencing token if this instance holds the role now. It is called
// immediately before each call.
func (d *duties) heldFence() (lease.Fence, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	fence, err := d.core.Check(d.clock.Now())

	return fence, err == nil
}
