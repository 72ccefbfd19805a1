package capacity

import (
	"testing"
	"time"
)

// Guards against orders for a load that was reported several times its size: no servers are
// ordered for it while the servers report that most of their slots are free. A load that fills
// the slots is ordered for.
func TestContradictedLoadOrdersNoServers(t *testing.T) {
	const load = 4 * 9 * 50_000

	for name, tt := range map[string]struct {
		taken    float64
		known    bool
		wantMore bool
	}{
		"slots are free":       {taken: 0.2, known: true},
		"slots are occupied":   {taken: 0.9, known: true, wantMore: true},
		"occupancy is unknown": {wantMore: true},
	} {
		m := newFakeCloud()
		p := &Planner{}

		onDemand, reclaimable := m.count(begin)
		before := onDemand + reclaimable
		most := before

		for at := time.Duration(0); at < 20*time.Second; at += tick {
			now := begin.Add(at)
			s := m.state(now, load)
			s.Occupancy, s.OccupancyKnown = tt.taken, tt.known

			for _, o := range p.Plan(now, s) {
				unavailable := m.apply(now, o)
				p.RecordResult(now, o, !unavailable, unavailable)
			}

			wanted, _ := p.Wanted(now, service)
			most = max(most, wanted)
		}

		if more := most > before; more != tt.wantMore {
			t.Errorf("%s: got %d servers wanted of %d, want more: %t", name, most, before, tt.wantMore)
		}
	}
}
