package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// fakeCloud carries out orders: servers take time to boot, and reclaimable ones may be
// unavailable.
type fakeCloud struct {
	boot      time.Duration
	exhausted bool
	servers   map[orderKey][]time.Time // when each server takes requests
	orders    int
	// cost is the accumulated price of all servers, in seconds of an on-demand server.
	cost float64
}

const (
	service = fleet.Service("ledger-llm")
	tick    = 400 * time.Millisecond
)

var (
	begin   = time.Unix(1000, 0)
	domains = []fleet.FailureDomain{"a", "b", "c", "d"}
)

func newFakeCloud() *fakeCloud {
	m := &fakeCloud{boot: 4 * time.Second, servers: make(map[orderKey][]time.Time)}

	for i := range 9 {
		k := orderKey{service, domains[i%4], false}
		m.servers[k] = append(m.servers[k], begin)
	}

	return m
}

func (m *fakeCloud) ready(now time.Time, k orderKey) int {
	n := 0

	for _, at := range m.servers[k] {
		if !at.After(now) {
			n++
		}
	}

	return n
}

func (m *fakeCloud) state(now time.Time, arriving float64) ServiceState {
	s := ServiceState{Service: service, MinPerDomain: 1, MaxPerDomain: 6, BootTime: m.boot, ArrivalRate: arriving, ServerRate: 50_000}

	for i, d := range domains {
		s.Domains = append(s.Domains, DomainState{
			Domain: d, Price: 1 + float64(i)/10,
			OnDemand: m.ready(now, orderKey{service, d, false}), Reclaimable: m.ready(now, orderKey{service, d, true}),
		})
	}

	return s
}

// apply carries out an order and reports whether such servers were unavailable.
func (m *fakeCloud) apply(now time.Time, o Order) (unavailable bool) {
	m.orders++

	k := orderKey{o.Service, o.Domain, o.Reclaimable}
	if o.Reclaimable && m.exhausted && o.Servers > len(m.servers[k]) {
		return true
	}

	for len(m.servers[k]) < o.Servers {
		m.servers[k] = append(m.servers[k], now.Add(m.boot))
	}

	m.servers[k] = m.servers[k][:o.Servers]

	return false
}

func (m *fakeCloud) count(now time.Time) (onDemand, reclaimable int) {
	for k := range m.servers {
		if k.reclaimable {
			reclaimable += m.ready(now, k)
		} else {
			onDemand += m.ready(now, k)
		}
	}

	return onDemand, reclaimable
}

// simulate runs the planner for a duration and calls each at every tick.
func simulate(m *fakeCloud, p *Planner, from time.Time, duration time.Duration, arriving float64, each func(time.Time)) time.Time {
	for now := from; now.Before(from.Add(duration)); now = now.Add(tick) {
		for _, o := range p.Plan(now, m.state(now, arriving)) {
			p.RecordResult(now, o, true, m.apply(now, o))
		}

		onDemand, reclaimable := m.count(now)
		m.cost += (float64(onDemand) + 0.15*float64(reclaimable)) * tick.Seconds()

		if each != nil {
			each(now)
		}
	}

	return from.Add(duration)
}

// neededServers returns the number of servers that a load requires.
func neededServers(arriving float64) int {
	return int(math.Ceil(arriving / (50_000 * targetUtilization(len(domains)))))
}

func TestReclaimableServersReplaceOnDemandServersWithoutGap(t *testing.T) {
	m, p := newFakeCloud(), &Planner{}
	least := 99

	simulate(m, p, begin, time.Minute, 130_000, func(now time.Time) {
		onDemand, reclaimable := m.count(now)
		least = min(least, onDemand+reclaimable)
	})

	onDemand, reclaimable := m.count(begin.Add(time.Minute))
	if onDemand != 0 || reclaimable < neededServers(130_000) {
		t.Errorf("after a minute: got %d on-demand and %d reclaimable servers, want 0 and what the load needs", onDemand, reclaimable)
	}

	if least < neededServers(130_000) {
		t.Errorf("fewest servers: got %d, want at least %d", least, neededServers(130_000))
	}

	if all := 9 * 60.0; m.cost > all/3 {
		t.Errorf("price: got %.0f, want below a third of %.0f for on-demand servers alone", m.cost, all)
	}

	if m.orders > 16 {
		t.Errorf("orders under a steady load: got %d, want at most 16", m.orders)
	}
}

func TestOnDemandServersCoverTwoReclaimedDomains(t *testing.T) {
	m, p := newFakeCloud(), &Planner{}
	now := simulate(m, p, begin, 20*time.Second, 150_000, nil)

	m.exhausted = true
	delete(m.servers, orderKey{service, "a", true})
	now = simulate(m, p, now, 6*time.Second, 150_000, nil)
	delete(m.servers, orderKey{service, "b", true})

	before := m.orders
	now = simulate(m, p, now, 8*time.Second, 150_000, nil)

	onDemand, reclaimable := m.count(now)
	if got, want := onDemand+reclaimable, 5; got < want {
		t.Errorf("8s after the second reclaim: got %d servers, want at least %d", got, want)
	}

	if got := m.orders - before; got > 16 {
		t.Errorf("orders in 8s: got %d, want at most 16", got)
	}

	m.exhausted = false
	now = simulate(m, p, now, 25*time.Second, 150_000, nil)

	if onDemand, _ := m.count(now); onDemand != 0 {
		t.Errorf("after the shortage: got %d on-demand servers, want 0", onDemand)
	}
}

func TestOrderWithoutEffectIsRepeated(t *testing.T) {
	m, p := newFakeCloud(), &Planner{}
	orderCounts := map[string]int{}

	for now := begin; now.Before(begin.Add(30 * time.Second)); now = now.Add(tick) {
		for _, o := range p.Plan(now, m.state(now, 0)) {
			name := fmt.Sprint(o.Domain, o.Reclaimable)
			orderCounts[name]++

			// The first order for each domain and kind is accepted but has no effect.
			if orderCounts[name] > 1 {
				m.apply(now, o)
			}

			p.RecordResult(now, o, true, false)
		}
	}

	if onDemand, reclaimable := m.count(begin.Add(30 * time.Second)); onDemand != 0 || reclaimable != 9 {
		t.Errorf("got %d on-demand and %d reclaimable servers, want 0 and 9", onDemand, reclaimable)
	}
}

func TestPlanReturnsNoOrdersBeforeServersRegister(t *testing.T) {
	m := &fakeCloud{servers: make(map[orderKey][]time.Time)}
	s := m.state(begin, 0)
	s.ServerRate = 0

	if got := (&Planner{}).Plan(begin, s); len(got) != 0 {
		t.Errorf("without servers: got %v, want no orders", got)
	}
}

// A planner that takes over, or starts together with all instances, does not know the load yet
// and must not release servers for that reason.
func TestNewPlannerReleasesNoServers(t *testing.T) {
	m, p := newFakeCloud(), &Planner{}
	now := simulate(m, p, begin, 30*time.Second, 150_000, nil)
	_, before := m.count(now)

	simulate(m, &Planner{}, now, 20*time.Second, 10_000, func(now time.Time) {
		if onDemand, reclaimable := m.count(now); onDemand+reclaimable < before {
			t.Fatalf("%v after the start: got %d servers, want %d", now.Sub(begin), onDemand+reclaimable, before)
		}
	})
}

// During a shortage, a failure domain that still has reclaimable servers must keep them.
func TestShortageReleasesNoReclaimableServers(t *testing.T) {
	m, p := newFakeCloud(), &Planner{}
	now := simulate(m, p, begin, 20*time.Second, 150_000, nil)

	m.exhausted = true
	delete(m.servers, orderKey{service, "a", true})
	delete(m.servers, orderKey{service, "b", true})

	_, before := m.count(now)
	simulate(m, p, now, 20*time.Second, 150_000, func(now time.Time) {
		if _, got := m.count(now); got < before {
			t.Fatalf("reclaimable servers: got %d, want the %d that are left", got, before)
		}
	})
}

func TestRestoredPlannerReleasesNoServersWantedBefore(t *testing.T) {
	m, last := newFakeCloud(), &Planner{}
	now := simulate(m, last, begin, 20*time.Second, 180_000, nil)

	// All instances restart while a failure domain is reclaimed: few servers are left and the
	// load is not known yet.
	delete(m.servers, orderKey{service, "a", true})
	m.exhausted = true

	next := &Planner{}
	next.Restore(now, last.Plans(now))

	for _, o := range next.Plan(now, m.state(now, 0)) {
		if present := m.ready(now, orderKey{service, o.Domain, o.Reclaimable}); o.Reclaimable && o.Servers < present {
			t.Errorf("order of the restored planner: got %d servers in %s where %d are, want none released", o.Servers, o.Domain, present)
		}
	}

	if wanted, _ := next.Wanted(now, service); wanted != neededServers(180_000) {
		t.Errorf("wanted by the restored planner: got %d, want %d as before", wanted, neededServers(180_000))
	}
}

func TestOnDemandServersFollowRecentLoad(t *testing.T) {
	m, p := newFakeCloud(), &Planner{}
	now := simulate(m, p, begin, 20*time.Second, 300_000, nil)

	// The load drops before the failure domains are reclaimed, and no reclaimable servers are
	// available.
	now = simulate(m, p, now, recentWindow+time.Second, 60_000, nil)
	m.exhausted = true

	for _, d := range domains {
		delete(m.servers, orderKey{service, d, true})
	}

	now = simulate(m, p, now, 10*time.Second, 60_000, nil)

	onDemand, _ := m.count(now)
	if most := len(domains) + neededServers(60_000); onDemand > most || onDemand < neededServers(60_000)/2 {
		t.Errorf("on-demand servers after the peak: got %d, want at most %d and at least half of what the load needs", onDemand, most)
	}
}

// With more failure domains, the loss of two of them takes a smaller share of the servers, so
// fewer servers carry the same load after it.
func TestMoreFailureDomainsNeedFewerServers(t *testing.T) {
	const arriving = 300_000

	before := 0

	for _, n := range []int{1, 2, 4, 5, 6, 12} {
		s := ServiceState{Service: service, MinPerDomain: 1, MaxPerDomain: 26, ArrivalRate: arriving, ServerRate: 50_000}
		for i := range n {
			s.Domains = append(s.Domains, DomainState{Domain: fleet.FailureDomain(fmt.Sprint("domain-", i)), Price: 1})
		}

		wanted := (&Planner{}).updateWanted(begin, s)
		if before > 0 && wanted > before && wanted > n {
			t.Errorf("%d failure domains: got %d servers, want at most the %d of fewer domains", n, wanted, before)
		}

		before = wanted

		left := float64(wanted) * (1 - min(toleratedDomainLosses/float64(n), maxLostShare))
		if use := arriving / 50_000 / left; use > maxUtilizationAfterLosses+0.01 {
			t.Errorf("%d failure domains: got a utilization of %.2f after two are lost, want at most %.2f", n, use, maxUtilizationAfterLosses)
		}
	}
}
