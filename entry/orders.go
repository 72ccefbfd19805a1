package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/capacity"
	"monsoonlever/fleet"
	"monsoonlever/platform"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
)

// placeOrders places the orders for backend servers that are due while this instance holds the
// role.
func (d *duties) placeOrders(ctx context.Context) {
	for _, o := range d.plannedOrders() {
		d.placeOrder(ctx, o)
	}
}

// plannedOrders returns the orders for all services.
func (d *duties) plannedOrders() []capacity.Order {
	rules := d.rules.Load()
	if rules == nil || !d.register.Loaded() {
		return nil
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.clock.Now()
	if _, err := d.core.Check(now); err != nil {
		d.planGauges.withdraw()

		return nil
	}

	var orders []capacity.Order

	for _, name := range slices.Sorted(maps.Keys(rules.Services())) {
		if service := rules.Service(name); service.Scaling != nil {
			state := d.serviceState(service)
			orders = append(orders, d.planner.Plan(now, state)...)
			d.publishPlan(now, state)
		}
	}

	return orders
}

// loggedPlan is the last plan that was logged for a service.
type loggedPlan struct {
	wanted, recent int
	bound          capacity.Bound
	contradicted   bool
}

// publishPlan sets the metrics of a plan, and logs the number of wanted servers and the load that
// they are wanted for, if that changed.
func (d *duties) publishPlan(now time.Time, s capacity.ServiceState) {
	wanted, recent := d.planner.Wanted(now, s.Service)
	logged := loggedPlan{wanted: wanted, recent: recent, bound: d.planner.Bound(now, s.Service), contradicted: s.Contradicted()}
	d.planGauges.publish(s, logged.wanted, logged.bound)

	if d.lastLogged[s.Service] == logged {
		return
	}

	d.lastLogged[s.Service] = logged
	klog.InfoS("servers wanted", "service", s.Service, "servers", wanted, "recent", recent,
		"arriving", int(s.ArrivalRate), "speed", int(s.ServerRate), "taken", s.Occupancy, "contradicted", logged.contradicted,
		"bound", logged.bound, "reading", int(s.ReadArrivalRate), "readRate", int(s.ReadRate), "pace", s.MeanPace())
}

// serviceState collects what this instance knows of a service.
func (d *duties) serviceState(service *ruleset.Service) capacity.ServiceState {
	s := capacity.ServiceState{
		Service: service.Name, MinPerDomain: service.Scaling.Min, MaxPerDomain: service.Scaling.Max, BootTime: service.Scaling.Boot,
	}
	domains := make(map[fleet.FailureDomain]*capacity.DomainState)

	for domain, price := range service.Scaling.Prices {
		domains[domain] = &capacity.DomainState{Domain: domain, Price: price}
	}

	trialVersion, _, inTrial := d.inTrial(service.Name)

	for _, server := range d.register.Servers() {
		state := domains[server.Domain]
		if server.Service != service.Name || server.Leaving || state == nil || inTrial && server.Version == trialVersion {
			continue
		}

		if server.Reclaimable {
			state.Reclaimable++
		} else {
			state.OnDemand++
		}
	}

	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		s.Domains = append(s.Domains, *domains[domain])
	}

	now := d.clock.Now()
	s.Occupancy, s.OccupancyKnown = d.utilization(now, service.Name)
	work := workOf(d.arriving(now), service.Name)
	recorded := workOf(d.recordedWork, service.Name)
	s.ArrivalRate, s.ServerRate = work.Arriving, work.Speed

	if s.ServerRate == 0 {
		// After a restart of all instances, no instance has measured the rate yet.
		s.ArrivalRate, s.ServerRate = max(work.Arriving, recorded.Arriving), recorded.Speed
	}

	d.setReadRate(now, &s, work, recorded)

	return s
}

// setReadRate sets the read rate of a service and the paces of its servers, where these tell them.
// A recorded rate serves until one is measured, unless most servers have reported their load and
// don't tell their pace.
func (d *duties) setReadRate(now time.Time, s *capacity.ServiceState, work, recorded scheduling.Work) {
	pace, told := d.totalPace(now, s.Service)

	switch {
	case work.ReadRate > 0:
		s.ReadRate, s.ReadArrivalRate = work.ReadRate, work.Reading
	case recorded.ReadRate > 0 && (told || !s.OccupancyKnown):
		s.ReadRate, s.ReadArrivalRate = recorded.ReadRate, max(work.Reading, work.Arriving, recorded.Reading)
	}

	if s.ReadRate > 0 && told {
		s.Pace = pace
	}
}

// recordWork stores the recorded work. It keeps the read rates of services for which newer work has
// none: after a restart of all instances leaders record work before they have measured its rate.
func (d *duties) recordWork(work []scheduling.Work) {
	work = slices.Clone(work)

	for i, w := range work {
		if earlier := workOf(d.recordedWork, w.Service); w.ReadRate == 0 {
			work[i].ReadRate, work[i].Reading = earlier.ReadRate, earlier.Reading
		}
	}

	d.recordedWork = work
}

func workOf(work []scheduling.Work, service fleet.Service) scheduling.Work {
	for _, w := range work {
		if w.Service == service {
			return w
		}
	}

	return scheduling.Work{Service: service}
}

// trialServers returns how many servers of a version on trial an order has to keep: the planner
// doesn't count them.
func (d *duties) trialServers(o capacity.Order) int {
	trialVersion, _, inTrial := d.inTrial(o.Service)
	if !inTrial {
		return 0
	}

	n := 0

	for _, s := range d.register.Servers() {
		if s.Service == o.Service && s.Version == trialVersion && s.Domain == o.Domain && s.Reclaimable == o.Reclaimable && !s.Leaving {
			n++
		}
	}

	return n
}

// placeOrder sends one order to the cloud API.
func (d *duties) placeOrder(ctx context.Context, o capacity.Order) {
	call, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()

	fence, held := d.heldFence()
	if !held {
		return
	}

	total := o
	total.Servers += d.trialServers(o)
	err := d.cloud.OrderServers(call, fence, total)
	noneAvailable := errors.Is(err, platform.ErrNoneAvailable)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.RecordResult(d.clock.Now(), o, err == nil, noneAvailable)

	if errors.Is(err, platform.ErrFenced) {
		d.core.Release(d.clock.Now())
	}

	klog.InfoS("servers ordered", "service", o.Service, "failureDomain", o.Domain, "reclaimable", o.Reclaimable,
		"servers", o.Servers, "fence", fence, "noneAvailable", noneAvailable, "err", err)
}
