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

// logPlan logs how many servers are wanted and for what load, where that changed.
func (d *duties) logPlan(now time.Time, s capacity.State) {
	wanted, ofLate := d.planner.Wanted(now, s.Service)
	if d.wanted[s.Service] == [2]int{wanted, ofLate} {
		return
	}

	d.wanted[s.Service] = [2]int{wanted, ofLate}
	klog.InfoS("servers wanted", "service", s.Service, "servers", wanted, "ofLate", ofLate,
		"arriving", int(s.Arriving), "speed", int(s.Speed))
}

// stateOf gathers what is known of a service.
func (d *duties) stateOf(service *ruleset.Service) capacity.State {
	s := capacity.State{
		Service: service.Name, Least: service.Scaling.Min, Most: service.Scaling.Max, Boot: service.Scaling.Boot,
	}
	places := make(map[fleet.FailureDomain]*capacity.Place)

	for domain, price := range service.Scaling.Prices {
		places[domain] = &capacity.Place{Domain: domain, Price: price}
	}

	for _, server := range d.register.Servers() {
		place := places[server.Domain]
		if server.Service != service.Name || server.Leaving || place == nil {
			continue
		}

		if server.Reclaimable {
			place.Reclaimable++
		} else {
			place.Lasting++
		}
	}

	for _, domain := range slices.Sorted(maps.Keys(places)) {
		s.Places = append(s.Places, *places[domain])
	}

	var speeds []float64

	for _, id := range d.members.IDs() {
		for _, w := range d.work[id] {
			if w.Service != service.Name {
				continue
			}

			s.Arriving += w.Arriving

			if w.Speed > 0 {
				speeds = append(speeds, w.Speed)
			}
		}
	}

	s.Speed = median(speeds)

	return s
}

// median returns the middle one of some numbers, or zero. What single instances
// measured of few answers may lie far off.
func median(numbers []float64) float64 {
	if len(numbers) == 0 {
		return 0
	}

	slices.Sort(numbers)

	return numbers[len(numbers)/2]
}

// give sends one order.
func (d *duties) give(ctx context.Context, o capacity.Order) {
	call, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()

	fence, held := d.held()
	if !held {
		return
	}

	err := d.cloud.OrderServers(call, fence, o)
	none := errors.Is(err, platform.ErrNoneAvailable)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.Answered(d.clock.Now(), o, err == nil, none)

	if errors.Is(err, platform.ErrFenced) {
		d.core.Release(d.clock.Now())
	}

	klog.InfoS("servers ordered", "service", o.Service, "failureDomain", o.Domain, "reclaimable", o.Reclaimable,
		"servers", o.Servers, "fence", fence, "noneAvailable", none, "err", err)
}
