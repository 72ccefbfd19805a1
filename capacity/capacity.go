// Package capacity decides how many backend servers of a service are ordered in
// which failure domain.
//
// It answers a load of prompts: the work that arrives, in tokens that have to be
// read, against the speed at which an idle server reads. Reclaimable servers cost
// a small part of the others, so that they carry the load with room for the loss
// of a failure domain, and others are ordered only where reclaimable ones are not
// to be had.
//
// Plan is a step: what is known goes in, orders come out. Orders are absolute and
// given again only if what they ask for has not come about.
//
// # Usage
//
//	planner := &capacity.Planner{}
//	for _, order := range planner.Plan(now, state) {
//		err := cloud.Order(order)
//		planner.Answered(now, order, err)
//	}
package capacity

import (
	"math"
	"slices"
	"strings"
	"time"

	"monsoonlever/fleet"
)

// Order is the wanted number of servers of a service in a failure domain.
type Order struct {
	Service     fleet.Service
	Domain      fleet.FailureDomain
	Reclaimable bool
	Servers     int
}

// DomainState is one failure domain in which a service may have servers.
type DomainState struct {
	Domain fleet.FailureDomain
	Price  float64
	// OnDemand and Reclaimable are the servers that take requests.
	OnDemand    int
	Reclaimable int
}

// ServiceState is what is known of one service.
type ServiceState struct {
	Service fleet.Service
	// MinPerDomain and MaxPerDomain bound the servers of a failure domain, both kinds together.
	MinPerDomain, MaxPerDomain int
	// BootTime is the time from an order to the first request.
	BootTime time.Duration
	Domains  []DomainState
	// ArrivalRate is the work that arrives in a second, and Speed what an idle server
	// does in a second. Zero is not known.
	ArrivalRate float64
	ServerRate  float64
	// Occupancy is the part of the servers' places that is in use or waited for, as most of
	// them said of late, if TakenKnown.
	Occupancy      float64
	OccupancyKnown bool
}

// Plan is the wanted number of servers of a service, in all failure domains.
type Plan struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Wanted   int
}

const (
	// maxUtilizationAfterLosses is the part of a server's speed that is used once two failure domains
	// were reclaimed. With four of them it makes 0.31 at the usual load, at which a prompt
	// waits for half as long as it takes itself, and with six 0.41.
	maxUtilizationAfterLosses = 0.62
	// toleratedDomainLosses is how many failure domains may be reclaimed at a time, and mostLost the part
	// of the servers that is planned for where there are few of them.
	toleratedDomainLosses = 2
	maxLostShare          = 0.5
	// peakWindow is how long the highest load counts: a wave of users. Servers that are
	// given back too early cost more than those that are kept: they may not be had
	// again, and new ones have read nothing.
	peakWindow = 45 * time.Second
	// orderSettleTime is added to the boot of servers before an order is given again: the
	// register and the calls have their delays.
	orderSettleTime = 4 * time.Second
	// refusalBackoff is how long a failure domain that had none is not asked again.
	refusalBackoff = 4 * time.Second
	// shortageWindow is how long after such an answer reclaimable servers count as short.
	shortageWindow = 8 * time.Second
	// criticalShare is the part of the servers wanted of late below which lasting ones are
	// ordered while no reclaimable ones are to be had: one failure domain after the
	// other may be reclaimed before there are any again.
	criticalShare = 0.66
	// recentWindow is the time in which servers count as wanted of late. Lasting servers
	// cost many times what reclaimable ones cost, and are had at any time.
	recentWindow = 12 * time.Second
)

// Planner remembers what was ordered. It is not safe for concurrent use.
type Planner struct {
	lastOrders map[orderKey]lastOrder
	// peaks are the highest loads of late, by service.
	peaks map[fleet.Service]*peaks
}

type orderKey struct {
	service     fleet.Service
	domain      fleet.FailureDomain
	reclaimable bool
}

type lastOrder struct {
	servers int
	at      time.Time
	// refusedAt is when no such servers were to be had.
	refusedAt time.Time
}

// Plan returns the orders to give now for one service.
func (p *Planner) Plan(now time.Time, s ServiceState) []Order {
	if p.lastOrders == nil {
		p.lastOrders = make(map[orderKey]lastOrder)
	}

	domains := slices.Clone(s.Domains)
	slices.SortFunc(domains, func(a, b DomainState) int {
		if a.Price != b.Price {
			return int(math.Copysign(1, a.Price-b.Price))
		}

		return strings.Compare(string(a.Domain), string(b.Domain))
	})

	wanted := p.updateWanted(now, s)
	if wanted == 0 {
		return nil
	}

	reclaimable := p.distribute(now, s, domains, wanted)
	onDemand := p.onDemandServers(now, s, domains, wanted)

	var orders []Order

	for i, domain := range domains {
		orders = p.appendOrder(now, s, orders, domain.Domain, true, reclaimable[i], domain.Reclaimable)
		orders = p.appendOrder(now, s, orders, domain.Domain, false, onDemand[i], domain.OnDemand)
	}

	return orders
}

// appendOrder adds an appendOrder where what is wanted is not what was ordered or has not come.
func (p *Planner) appendOrder(
	now time.Time, s ServiceState, orders []Order, domain fleet.FailureDomain, reclaimable bool, wanted, present int,
) []Order {
	k := orderKey{s.Service, domain, reclaimable}
	last, known := p.lastOrders[k]

	if now.Sub(last.refusedAt) < refusalBackoff {
		return orders
	}

	if !known && wanted == present {
		return orders
	}

	if known && last.servers == wanted && (wanted == present || now.Sub(last.at) < s.BootTime+orderSettleTime) {
		return orders
	}

	p.lastOrders[k] = lastOrder{servers: wanted, at: now, refusedAt: last.refusedAt}

	return append(orders, Order{Service: s.Service, Domain: domain, Reclaimable: reclaimable, Servers: wanted})
}

// RecordResult takes in how an order was answered. none is set where no such servers
// were to be had; ok is not set where it is not known whether the order took effect.
func (p *Planner) RecordResult(now time.Time, o Order, ok, unavailable bool) {
	k := orderKey{o.Service, o.Domain, o.Reclaimable}
	last := p.lastOrders[k]

	switch {
	case unavailable:
		last.refusedAt = now
		last.servers = -1
	case !ok:
		last.servers = -1
	}

	p.lastOrders[k] = last
}
