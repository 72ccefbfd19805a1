// Package capacity decides how many backend servers of a service are ordered in
// which failure domain.
//
// The load of a service is the arriving work, in prompt tokens per second, compared with the
// rate at which an idle server processes them. Reclaimable servers cost a fraction of the
// price of on-demand servers, so they carry the load with spare capacity for the loss of
// failure domains. On-demand servers are ordered only where reclaimable ones are unavailable.
//
// Plan runs one planning step: it takes the state of a service and returns orders. Orders
// state absolute numbers and are repeated only if they have not taken effect.
//
// # Usage
//
//	planner := &capacity.Planner{}
//	for _, order := range planner.Plan(now, state) {
//		err := cloud.Order(order)
//		planner.RecordResult(now, order, err == nil, errors.Is(err, platform.ErrNoneAvailable))
//	}
package capacity

import (
	"math"
	"slices"
	"strings"
	"time"

	"monsoonlever/fleet"
)

// Order is the requested number of servers of a service in a failure domain.
type Order struct {
	Service     fleet.Service
	Domain      fleet.FailureDomain
	Reclaimable bool
	Servers     int
}

// DomainState is a failure domain in which a service may have servers.
type DomainState struct {
	Domain fleet.FailureDomain
	Price  float64
	// OnDemand and Reclaimable count the servers that accept requests.
	OnDemand    int
	Reclaimable int
}

// ServiceState is the planner's input for one service.
type ServiceState struct {
	Service fleet.Service
	// MinPerDomain and MaxPerDomain bound the servers of a failure domain, on-demand and
	// reclaimable ones together.
	MinPerDomain, MaxPerDomain int
	// BootTime is the time from an order to the server's first request.
	BootTime time.Duration
	Domains  []DomainState
	// ArrivalRate is the work that arrives per second, and ServerRate the work that an idle
	// server processes per second. Zero means unknown.
	ArrivalRate float64
	ServerRate  float64
	// ReadRate is the sustained rate at which a server of usual pace processes work, ReadArrivalRate
	// the arriving work that it applies to, and Pace the sum of the paces of the present servers,
	// where 1 is usual. All are zero where servers don't tell their pace; ServerRate then counts
	// alone.
	ReadRate        float64
	ReadArrivalRate float64
	Pace            float64
	// Occupancy is the fraction of the servers' request slots that is in use or waited for, as
	// most servers reported recently. It is valid if OccupancyKnown is set.
	Occupancy      float64
	OccupancyKnown bool
}

// Plan is the wanted number of servers of a service in all failure domains.
type Plan struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Wanted   int
}

const (
	// maxUtilizationAfterLosses is the utilization of the remaining servers after two failure
	// domains were reclaimed. With four domains this gives a utilization of 0.31 at the usual
	// load, at which a prompt waits for half of its own processing time, and with six domains
	// 0.41.
	maxUtilizationAfterLosses = 0.62
	// toleratedDomainLosses is the number of failure domains that may be reclaimed at the same
	// time. maxLostShare limits the share of servers that is planned to be lost where there
	// are few domains.
	toleratedDomainLosses = 2
	maxLostShare          = 0.5
	// peakWindow is how long the highest load counts, the duration of a wave of users.
	// Releasing servers too early costs more than keeping them: replacements may be
	// unavailable and start with empty caches.
	peakWindow = 45 * time.Second
	// orderSettleTime is added to the boot time before an order is repeated, to allow for
	// delays of the register and of the calls.
	orderSettleTime = 4 * time.Second
	// refusalBackoff is how long no order is sent to a failure domain that had no servers
	// available.
	refusalBackoff = 4 * time.Second
	// shortageWindow is how long after such a refusal reclaimable servers count as short.
	shortageWindow = 8 * time.Second
	// criticalShare is the share of the recently wanted servers below which on-demand servers
	// are ordered during a shortage of reclaimable ones: further failure domains may be
	// reclaimed before the shortage ends.
	criticalShare = 0.66
	// recentWindow is the window of the recently wanted servers, which on-demand servers are
	// ordered for. It is shorter than peakWindow because on-demand servers cost many times
	// as much as reclaimable ones and are always available.
	recentWindow = 12 * time.Second
)

// Planner plans orders and remembers the last ones. It is not safe for concurrent use.
type Planner struct {
	lastOrders map[orderKey]lastOrder
	// peaks holds the recent peaks of the wanted servers by service.
	peaks map[fleet.Service]*peaks
	// sustained holds the needs of the last boot time by service.
	sustained map[fleet.Service]*sustained
}

type orderKey struct {
	service     fleet.Service
	domain      fleet.FailureDomain
	reclaimable bool
}

type lastOrder struct {
	servers int
	at      time.Time
	// refusedAt is when such servers were last unavailable.
	refusedAt time.Time
}

// Plan returns the orders to send now for one service.
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

// appendOrder appends an order if the wanted number differs from the last order, or if the
// last order has not taken effect in time.
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

// RecordResult records the result of an order. unavailable is set if no such servers were
// available; ok is unset if it is unknown whether the order took effect.
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
