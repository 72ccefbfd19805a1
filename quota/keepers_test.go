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
	// keepers is how many instances keep the limits.
	keepers = 5
	// silentFor is how long an instance counts that is not heard of, and trustedFor how
	// long one that is cut off takes requests.
	silentFor  = 7 * time.Second
	trustedFor = 4750 * time.Millisecond
)

// fleetOfKeepers is a number of instances of which the first five that are heard of keep
// the limits. They are killed, cut off from each other and from the store.
type fleetOfKeepers struct {
	nodes   []*keeperNode
	records []keeperRecord
	random  *rand.Rand
}

type keeperNode struct {
	id    fleet.InstanceID
	quota *Quota
	dead  bool
	// cutUntil is until when no other hears it or is heard by it, and storeUntil until
	// when it can't reach the store.
	cutUntil, storeUntil time.Time
	// heard is when each other was heard of, and echo the newest time of each other's word.
	heard, echo []time.Time
	// confirmed is when its rules were last confirmed.
	confirmed time.Time
	read      int
	keepers   []fleet.InstanceID
}

type keeperRecord struct {
	from  int
	spent []Consumption
}

func newFleetOfKeepers(n int, seed uint64) *fleetOfKeepers {
	f := &fleetOfKeepers{random: rand.New(rand.NewPCG(seed, 11))}

	for i := range n {
		id := fleet.InstanceID(fmt.Sprint("entry-", i))
		q := New(Policy{
			Self: id, Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
			DirectDelay: func(int) time.Duration { return 600 * time.Millisecond },
		})
		q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})

		f.nodes = append(f.nodes, &keeperNode{
			id: id, quota: q, heard: slices.Repeat([]time.Time{start}, n), echo: make([]time.Time, n), confirmed: start,
		})
	}

	for _, node := range f.nodes {
		f.readStore(start, node)
	}

	return f
}

func (f *fleetOfKeepers) reach(now time.Time, a, b *keeperNode) bool {
	return !a.dead && !b.dead && now.After(a.cutUntil) && now.After(b.cutUntil)
}

func (n *keeperNode) keeps() bool { return slices.Contains(n.keepers, n.id) }

// tell lets each keeper tell the others what it has spent, one word in twenty is lost.
func (f *fleetOfKeepers) tell(now time.Time) {
	for i, from := range f.nodes {
		for j, to := range f.nodes {
			if i == j || !from.keeps() || !f.reach(now, from, to) || f.random.IntN(20) == 0 {
				continue
			}

			to.confirmed = latest(to.confirmed, from.confirmed)

			if !slices.Contains(from.keepers, to.id) {
				continue
			}

			to.heard[i], to.echo[i] = now, now
			to.quota.Receive(now, from.id, 1, from.quota.Consumption(now))
			to.quota.Acknowledged(from.echo[j], from.id)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// readStore lets an instance write its record and read those of the others.
func (f *fleetOfKeepers) readStore(now time.Time, node *keeperNode) {
	if node.dead || !now.After(node.storeUntil) {
		return
	}

	node.confirmed = now
	self := slices.Index(f.nodes, node)
	spent, _ := node.quota.Record(now)
	f.records = append(f.records, keeperRecord{from: self, spent: spent})

	for _, r := range f.records[node.read:] {
		node.heard[r.from] = now

		if r.from != self {
			node.quota.Receive(now, f.nodes[r.from].id, 1, r.spent)
		}
	}

	node.read = len(f.records)
	node.keepers = nil

	for i, other := range f.nodes {
		if (i == self || now.Sub(node.heard[i]) <= silentFor) && len(node.keepers) < keepers {
			node.keepers = append(node.keepers, other.id)
		}
	}

	node.quota.SetCoordinators(now, node.keepers)
	node.quota.MarkSynced(now)
}

func (f *fleetOfKeepers) step(now time.Time, tick int) {
	if tick%2 == 0 {
		f.tell(now)
	}

	for i, node := range f.nodes {
		if pace := 3; node.keeps() && tick%pace == i%pace || tick%50 == i%50 {
			f.readStore(now, node)
		}
	}
}

// take asks an instance, and those that it would ask.
func (f *fleetOfKeepers) take(now time.Time, i int, cost float64) bool {
	node := f.nodes[i]
	if node.dead || now.Sub(node.confirmed) > trustedFor {
		return false
	}

	if node.quota.Take(now, "a", cost).Granted {
		return true
	}

	for _, id := range node.quota.Lenders("a") {
		j := slices.IndexFunc(f.nodes, func(n *keeperNode) bool { return n.id == id })
		lender := f.nodes[j]

		if j != i && (!f.reach(now, node, lender) || now.Sub(lender.confirmed) > trustedFor) {
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
func TestHoldsAllowanceOverChangesOfKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 16).Draw(t, "instances")
		heat := rapid.Float64Range(0.5, 8).Draw(t, "heat")
		f := newFleetOfKeepers(n, rapid.Uint64().Draw(t, "seed"))
		at := func(tick int) time.Time { return start.Add(time.Duration(tick) * 100 * time.Millisecond) }

		var grants []step

		for tick := 1; tick < 400; tick++ {
			now := at(tick)

			if f.random.IntN(30) == 0 {
				node := f.nodes[f.random.IntN(n)]
				until := now.Add(time.Duration(f.random.IntN(100)) * 100 * time.Millisecond)

				switch f.random.IntN(5) {
				case 0:
					node.dead = true
				case 1:
					node.cutUntil = until
				case 2:
					node.storeUntil = until
				default:
					node.cutUntil, node.storeUntil = until, until
				}
			}

			f.step(now, tick)

			for range f.random.IntN(int(2*heat) + 1) {
				cost := 1000 + f.random.ExpFloat64()*10_000
				if f.take(now, f.random.IntN(n), cost) {
					grants = append(grants, step{at: now, amount: cost})
				}
			}
		}

		if got := worst(grants); got > amount {
			t.Fatalf("granted in a window: got %.0f, want at most %d", got, amount)
		}
	})
}

// Of 195 instances, five keep the limit of an account that asks for nine tenths of it. Where
// the rest is divided among all, each has a word for each other in 1.2 s and a record of
// its own in 4.9 s: what may be lent between two records is soon used up.
func TestFewKeepersServeManyInstances(t *testing.T) {
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
			if spent += cost; spent > 0.9*safety*amount/80 {
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

	kept := newFleetOfKeepers(instances, 5)
	got := refused(kept.step, kept.take)

	shared := newLendingGroup(instances, Policy{
		Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
		DirectDelay: func(int) time.Duration { return 3500 * time.Millisecond },
	})
	slow := func(now time.Time, tick int) {
		for i, from := range shared.quotas {
			if tick%12 == i%12 {
				shared.say(now, i, from.Consumption(now))
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
func TestAKeeperWithoutTheOthersGrantsNothing(t *testing.T) {
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

	now = now.Add(quorumSpan + time.Millisecond)

	if granted() {
		t.Error("without news of the others: got a grant, want none")
	}

	q.Acknowledged(now, "entry-4")

	if granted() {
		t.Error("heard by one other: got a grant, want none")
	}
}
