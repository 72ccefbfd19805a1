package entry

import (
	"context"
	"errors"
	"maps"
	"slices"

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
			orders = append(orders, d.planner.Plan(now, d.stateOf(service))...)
		}
	}

	return orders
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

	for _, id := range d.members.IDs() {
		for _, w := range d.work[id] {
			if w.Service == service.Name {
				s.Arriving += w.Arriving
				s.Speed = max(s.Speed, w.Speed)
			}
		}
	}

	return s
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
