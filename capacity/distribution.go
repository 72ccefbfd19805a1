package capacity

import (
	"math"
	"time"

	"monsoonlever/fleet"
)

// distribute divides the wanted servers over the failure domains that have reclaimable ones,
// evenly, because all servers of a domain are lost together. While there are too few
// reclaimable servers, none is released, because a replacement may be unavailable.
func (p *Planner) distribute(now time.Time, s ServiceState, domains []DomainState, wanted int) []int {
	counts := make([]int, len(domains))
	left := wanted

	if reclaimableServers(domains) < wanted {
		for i, domain := range domains {
			counts[i] = min(domain.Reclaimable, s.MaxPerDomain)
			left -= counts[i]
		}
	}

	for left > 0 {
		least := -1

		for i, domain := range domains {
			if counts[i] >= s.MaxPerDomain || p.refusedRecently(now, s.Service, domain) && counts[i] >= domain.Reclaimable {
				continue
			}

			if least < 0 || counts[i] < counts[least] {
				least = i
			}
		}

		if least < 0 {
			break
		}

		counts[least]++
		left--
	}

	return counts
}

// reclaimableServers returns the number of reclaimable servers in all failure domains.
func reclaimableServers(domains []DomainState) int {
	n := 0
	for _, domain := range domains {
		n += domain.Reclaimable
	}

	return n
}

func (p *Planner) refusedRecently(now time.Time, service fleet.Service, domain DomainState) bool {
	return now.Sub(p.lastOrders[orderKey{service, domain.Domain, true}].refusedAt) < refusalBackoff
}

// onDemandServers returns the number of on-demand servers of each failure domain: existing
// ones up to the number that reclaimable servers leave uncovered, and new ones during a
// shortage of reclaimable servers.
func (p *Planner) onDemandServers(now time.Time, s ServiceState, domains []DomainState, wanted int) []int {
	counts := make([]int, len(domains))
	// After a load peak, on-demand servers are kept for recentWindow only.
	uncovered := min(wanted, p.peaksOf(s.Service).highest(now, recentWindow)) - reclaimableServers(domains)

	// The most expensive domains come last, so they release their servers first.
	for i, domain := range domains {
		counts[i] = min(max(domain.OnDemand, p.pendingServers(now, s, domain, false)), max(uncovered, 0))
		uncovered -= counts[i]
	}

	missing := p.missingOnDemand(now, s, domains) - sum(counts)

	for missing > 0 {
		before := missing

		for i, domain := range domains {
			if missing > 0 && counts[i]+domain.Reclaimable < s.MaxPerDomain {
				counts[i]++
				missing--
			}
		}

		if missing == before {
			break
		}
	}

	return counts
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}

	return n
}

// missingOnDemand returns the number of on-demand servers needed during a shortage of
// reclaimable ones. Ordered servers that are still booting count as present.
func (p *Planner) missingOnDemand(now time.Time, s ServiceState, domains []DomainState) int {
	short := false
	expected := 0

	for _, domain := range domains {
		short = short || now.Sub(p.lastOrders[orderKey{s.Service, domain.Domain, true}].refusedAt) < shortageWindow
		expected += max(domain.Reclaimable, p.pendingServers(now, s, domain, true))
	}

	if !short {
		return 0
	}

	wanted := p.peaksOf(s.Service).highest(now, recentWindow)

	return max(int(math.Ceil(criticalShare*float64(wanted)))-expected, 0)
}

// pendingServers returns the number of servers of the last order for a failure domain while
// they may still be booting.
func (p *Planner) pendingServers(now time.Time, s ServiceState, domain DomainState, reclaimable bool) int {
	last := p.lastOrders[orderKey{s.Service, domain.Domain, reclaimable}]
	if now.Sub(last.at) < s.BootTime+orderSettleTime {
		return max(last.servers, 0)
	}

	return 0
}
