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

// order gives the orders for backend servers that are due while this instance holds
// the role.
func (d *duties) order(ctx context.Context) {
	for _, o := range d.planned() {
		d.give(ctx, o)
	}
}

// planned returns the orders of all services.
func (d *duties) planned() []capacity.Order {
	rules := d.rules.Load()
	if rules == nil || !d.register.Loaded() {
		return nil
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.clock.Now()
	if _, err := d.core.Check(now); err != nil {
		return nil
	}

	var orders []capacity.Order

	for _, name := range slices.Sorted(maps.Keys(rules.Services())) {
		if service := rules.Service(name); service.Scaling != nil {
			state := d.stateOf(service)
			orders = append(orders, d.planner.Plan(now, state)...)
			d.logPlan(now, state)
		}
	}

	return orders
}

// plan is what was logged last of a service.
type plan struct {
	wanted, ofLate int
	contradicted   bool
}

// logPlan logs how many servers are wanted and for what load, where that changed.
func (d *duties) logPlan(now time.Time, s capacity.ServiceState) {
	wanted, ofLate := d.planner.Wanted(now, s.Service)
	said := plan{wanted: wanted, ofLate: ofLate, contradicted: s.Contradicted()}

	if d.said[s.Service] == said {
		return
	}

	d.said[s.Service] = said
	klog.InfoS("servers wanted", "service", s.Service, "servers", wanted, "ofLate", ofLate,
		"arriving", int(s.ArrivalRate), "speed", int(s.ServerRate), "taken", s.Occupancy, "contradicted", said.contradicted)
}

// stateOf gathers what is known of a service.
func (d *duties) stateOf(service *ruleset.Service) capacity.ServiceState {
	s := capacity.ServiceState{
		Service: service.Name, MinPerDomain: service.Scaling.Min, MaxPerDomain: service.Scaling.Max, BootTime: service.Scaling.Boot,
	}
	places := make(map[fleet.FailureDomain]*capacity.DomainState)

	for domain, price := range service.Scaling.Prices {
		places[domain] = &capacity.DomainState{Domain: domain, Price: price}
	}

	tried, _, trial := d.inTrial(service.Name)

	for _, server := range d.register.Servers() {
		place := places[server.Domain]
		if server.Service != service.Name || server.Leaving || place == nil || trial && server.Version == tried {
			continue
		}

		if server.Reclaimable {
			place.Reclaimable++
		} else {
			place.OnDemand++
		}
	}

	for _, domain := range slices.Sorted(maps.Keys(places)) {
		s.Domains = append(s.Domains, *places[domain])
	}

	s.Occupancy, s.OccupancyKnown = d.taken(d.clock.Now(), service.Name)
	work := workOf(d.live(d.clock.Now()), service.Name)
	before := workOf(d.recorded, service.Name)
	s.ArrivalRate, s.ServerRate = work.Arriving, work.Speed

	if s.ServerRate == 0 {
		// After a start of all, nobody has measured yet.
		s.ArrivalRate, s.ServerRate = max(work.Arriving, before.Arriving), before.Speed
	}

	return s
}

func workOf(work []scheduling.Work, service fleet.Service) scheduling.Work {
	for _, w := range work {
		if w.Service == service {
			return w
		}
	}

	return scheduling.Work{Service: service}
}

// besides returns the servers that an order must not take away although they are not
// planned with: those of a version that is being tried.
func (d *duties) besides(o capacity.Order) int {
	tried, _, trial := d.inTrial(o.Service)
	if !trial {
		return 0
	}

	n := 0

	for _, s := range d.register.Servers() {
		if s.Service == o.Service && s.Version == tried && s.Domain == o.Domain && s.Reclaimable == o.Reclaimable && !s.Leaving {
			n++
		}
	}

	return n
}

// give sends one order.
func (d *duties) give(ctx context.Context, o capacity.Order) {
	call, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()

	fence, held := d.held()
	if !held {
		return
	}

	all := o
	all.Servers += d.besides(o)
	err := d.cloud.OrderServers(call, fence, all)
	none := errors.Is(err, platform.ErrNoneAvailable)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.RecordResult(d.clock.Now(), o, err == nil, none)

	if errors.Is(err, platform.ErrFenced) {
		d.core.Release(d.clock.Now())
	}

	klog.InfoS("servers ordered", "service", o.Service, "failureDomain", o.Domain, "reclaimable", o.Reclaimable,
		"servers", o.Servers, "fence", fence, "noneAvailable", none, "err", err)
}
