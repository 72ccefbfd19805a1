package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

const (
	// coordinators is how many instances keep the limits.
	coordinators = 5
	// memberTimeout is how long an instance counts that is not heard of, and trustedFor how
	// long one that is cut off takes requests.
	memberTimeout = 7 * time.Second
	rulesTimeout  = 4750 * time.Millisecond
)

// coordinatedFleet is a number of instances of which the first five that are heard of keep
// the limits. They are killed, cut off from each other and from the store.
type coordinatedFleet struct {
	nodes   []*coordinatedNode
	records []storedRecord
	random  *rand.Rand
}

type coordinatedNode struct {
	id     fleet.InstanceID
	quota  *Quota
	killed bool
	// partitionedUntil is until when no other hears it or is heard by it, and storeDownUntil until
	// when it can't reach the store.
	partitionedUntil, storeDownUntil time.Time
	// lastSeen is when each other was lastSeen of, and receivedAt the newest time of each other's word.
	lastSeen, receivedAt []time.Time
	// confirmed is when its rules were last confirmed.
	confirmed    time.Time
	recordsRead  int
	coordinators []fleet.InstanceID
}

type storedRecord struct {
	from        int
	consumption []Consumption
}

func newCoordinatedFleet(n int, seed uint64) *coordinatedFleet {
	f := &coordinatedFleet{random: rand.New(rand.NewPCG(seed, 11))}

	for i := range n {
		id := fleet.InstanceID(fmt.Sprint("entry-", i))
		q := New(Policy{
			Self: id, Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
			DirectDelay: func(int) time.Duration { return 600 * time.Millisecond },
		})
		q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})

		f.nodes = append(f.nodes, &coordinatedNode{
			id: id, quota: q, lastSeen: slices.Repeat([]time.Time{start}, n), receivedAt: make([]time.Time, n), confirmed: start,
		})
	}

	for _, node := range f.nodes {
		f.syncStore(start, node)
	}

	return f
}

func (f *coordinatedFleet) connected(now time.Time, a, b *coordinatedNode) bool {
	return !a.killed && !b.killed && now.After(a.partitionedUntil) && now.After(b.partitionedUntil)
}

func (n *coordinatedNode) coordinates() bool { return slices.Contains(n.coordinators, n.id) }

// exchange lets each keeper exchange the others what it has spent, one word in twenty is lost.
func (f *coordinatedFleet) exchange(now time.Time) {
	for i, from := range f.nodes {
		for j, to := range f.nodes {
			if i == j || !from.coordinates() || !f.connected(now, from, to) || f.random.IntN(20) == 0 {
				continue
			}

			to.confirmed = latest(to.confirmed, from.confirmed)

			if !slices.Contains(from.coordinators, to.id) {
				continue
			}

			to.lastSeen[i], to.receivedAt[i] = now, now
			to.quota.Receive(now, from.id, 1, from.quota.Consumption(now))
			to.quota.Acknowledged(from.receivedAt[j], from.id)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// syncStore lets an instance write its record and read those of the others.
func (f *coordinatedFleet) syncStore(now time.Time, node *coordinatedNode) {
	if node.killed || !now.After(node.storeDownUntil) {
		return
	}

	node.confirmed = now
	self := slices.Index(f.nodes, node)
	spent, _ := node.quota.Record(now)
	f.records = append(f.records, storedRecord{from: self, consumption: spent})

	for _, r := range f.records[node.recordsRead:] {
		node.lastSeen[r.from] = now

		if r.from != self {
			node.quota.Receive(now, f.nodes[r.from].id, 1, r.consumption)
		}
	}

	node.recordsRead = len(f.records)
	node.coordinators = nil

	for i, other := range f.nodes {
		if (i == self || now.Sub(node.lastSeen[i]) <= memberTimeout) && len(node.coordinators) < coordinators {
			node.coordinators = append(node.coordinators, other.id)
		}
	}

	node.quota.SetCoordinators(now, node.coordinators)
	node.quota.MarkSynced(now)
}

func (f *coordinatedFleet) step(now time.Time, tick int) {
	if tick%2 == 0 {
		f.exchange(now)
	}

	for i, node := range f.nodes {
		if pace := 3; node.coordinates() && tick%pace == i%pace || tick%50 == i%50 {
			f.syncStore(now, node)
		}
	}
}

// take asks an instance, and those that it would ask.
func (f *coordinatedFleet) take(now time.Time, i int, cost float64) bool {
	node := f.nodes[i]
	if node.killed || now.Sub(node.confirmed) > rulesTimeout {
		return false
	}

	if node.quota.Take(now, "a", cost).Granted {
		return true
	}

	for _, id := range node.quota.Lenders("a") {
		j := slices.IndexFunc(f.nodes, func(n *coordinatedNode) bool { return n.id == id })
		lender := f.nodes[j]

		if j != i && (!f.connected(now, node, lender) || now.Sub(lender.confirmed) > rulesTimeout) {
			continue
		}

		if lender.quota.LendTo(now, node.id, "a", cost).Granted {
			return true
		}
	}

	return false
}

// Whichever keepers are killed or cut off from each other and from the store, and whoever
// takes their place, no window holds more than the allowance.
func TestAllowanceHoldsWhenCoordinatorsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 16).Draw(t, "instances")
		heat := rapid.Float64Range(0.5, 8).Draw(t, "heat")
		f := newCoordinatedFleet(n, rapid.Uint64().Draw(t, "seed"))
		at := func(tick int) time.Time { return start.Add(time.Duration(tick) * 100 * time.Millisecond) }

		var grants []increment

		for tick := 1; tick < 400; tick++ {
			now := at(tick)

			if f.random.IntN(30) == 0 {
				node := f.nodes[f.random.IntN(n)]
				until := now.Add(time.Duration(f.random.IntN(100)) * 100 * time.Millisecond)

				switch f.random.IntN(5) {
				case 0:
					node.killed = true
				case 1:
					node.partitionedUntil = until
				case 2:
					node.storeDownUntil = until
				default:
					node.partitionedUntil, node.storeDownUntil = until, until
				}
			}

			f.step(now, tick)

			for range f.random.IntN(int(2*heat) + 1) {
				cost := 1000 + f.random.ExpFloat64()*10_000
				if f.take(now, f.random.IntN(n), cost) {
					grants = append(grants, increment{at: now, amount: cost})
				}
			}
		}

		if got := maxInWindow(grants); got > amount {
			t.Fatalf("granted in a window: got %.0f, want at most %d", got, amount)
		}
	})
}

// Of 195 instances, five keep the limit of an account that asks for nine tenths of it. Where
// the rest is divided among all, each has a word for each other in 1.2 s and a record of
// its own in 4.9 s: what may be lent between two records is soon used up.
func TestFewCoordinatorsServeManyInstances(t *testing.T) {
	const instances, warmUp, ticks = 195, 20, 220

	random := rand.New(rand.NewPCG(5, 5))

	type ask struct {
		tick, at int
		cost     float64
	}

	var asks []ask

	for tick := warmUp; tick < ticks; tick++ {
		for spent := 0.0; ; {
			cost := 500 + random.ExpFloat64()*5_000
			if spent += cost; spent > 0.9*usableFraction*amount/80 {
				break
			}

			asks = append(asks, ask{tick: tick, at: random.IntN(instances), cost: cost})
		}
	}

	refused := func(step func(time.Time, int), take func(time.Time, int, float64) bool) int {
		count, next := 0, 0

		for tick := 1; tick < ticks; tick++ {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			step(now, tick)

			for ; next < len(asks) && asks[next].tick == tick; next++ {
				if !take(now, asks[next].at, asks[next].cost) {
					count++
				}
			}
		}

		return count
	}

	kept := newCoordinatedFleet(instances, 5)
	got := refused(kept.step, kept.take)

	shared := newLendingGroup(instances, Policy{
		Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
		DirectDelay: func(int) time.Duration { return 3500 * time.Millisecond },
	})
	slow := func(now time.Time, tick int) {
		for i, from := range shared.quotas {
			if tick%12 == i%12 {
				shared.broadcast(now, i, from.Consumption(now))
			}

			if tick%49 == i%49 {
				from.Record(now)
			}

			from.MarkSynced(now)
		}
	}
	before := refused(slow, func(now time.Time, i int, cost float64) bool { return shared.take(now, i, cost).Granted })

	t.Logf("refused of %d: %d with keepers, %d with shares for all", len(asks), got, before)

	if most := len(asks) / 50; got > most {
		t.Errorf("refused with keepers: got %d of %d, want at most %d", got, len(asks), most)
	}

	if got > before/10 {
		t.Errorf("refused with keepers: got %d, want at most a tenth of the %d with shares for all", got, before)
	}
}

// One that is cut off from the other keepers, or has not read what was recorded, grants
// nothing.
func TestCoordinatorWithoutQuorumGrantsNothing(t *testing.T) {
	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	q := New(Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: 2 * time.Second})
	q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
	q.MarkSynced(start)
	q.SetCoordinators(start.Add(time.Second), ids)

	now := start.Add(2 * time.Second)

	granted := func() bool {
		return q.Take(now, "a", 100).Granted || q.LendTo(now, "entry-9", "a", 100).Granted
	}

	q.Acknowledged(now, "entry-2")
	q.Acknowledged(now, "entry-3")

	if granted() {
		t.Error("before it has read what was recorded: got a grant, want none")
	}

	q.MarkSynced(now)

	if !granted() {
		t.Error("with two others that hear it: got no grant, want one")
	}

	now = now.Add(acknowledgmentTTL + time.Millisecond)

	if granted() {
		t.Error("without news of the others: got a grant, want none")
	}

	q.Acknowledged(now, "entry-4")

	if granted() {
		t.Error("heard by one other: got a grant, want none")
	}
}
