package capacity

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

// recordedOrders runs a planner over a day of changing load, reclaims and contradictions, and
// returns its orders.
func recordedOrders() []string {
	m, p := newFakeCloud(), &Planner{}

	var orders []string

	for i := range 500 {
		now := begin.Add(time.Duration(i) * tick)
		s := m.state(now, float64(40_000+i*i*7919%260_000))
		s.Occupancy, s.OccupancyKnown = float64(i%17)/16, i%5 != 0

		switch {
		case i < 5:
			s.ServerRate, s.ArrivalRate = 0, 0
		case i == 150:
			m.exhausted = true
			delete(m.servers, orderKey{service, "a", true})
		case i == 200:
			m.exhausted = false
		case i > 300 && i < 320:
			s.ArrivalRate *= 20
		}

		for _, o := range p.Plan(now, s) {
			p.RecordResult(now, o, true, m.apply(now, o))
			orders = append(orders, fmt.Sprint(i, o.Domain, o.Reclaimable, o.Servers))
		}
	}

	return orders
}

// Where servers don't tell their pace, orders are those of the planner before read rates were
// measured, on the same recorded states.
func TestOrdersWithoutReadRateAreUnchanged(t *testing.T) {
	const (
		wantOrders = 48
		wantHash   = 0x3a7c250110f7a2cd
	)

	orders, hash := recordedOrders(), fnv.New64a()
	for _, o := range orders {
		fmt.Fprintln(hash, o)
	}

	if got := len(orders); got != wantOrders {
		t.Errorf("orders: got %d, want %d", got, wantOrders)
	}

	if got := hash.Sum64(); got != wantHash {
		t.Errorf("hash of all orders: got %#x, want %#x", got, uint64(wantHash))
	}
}
