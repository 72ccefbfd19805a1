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
	// coordinators is the number of instances that enforce the limits.
	coordinators = 5
	// memberTimeout is how long a silent instance still counts as a member, and rulesTimeout
	// how long an instance that is cut off accepts requests.
	memberTimeout = 7 * time.Second
	rulesTimeout  = 4750 * time.Millisecond
)

// windowAllowance is limited by the window alone, and pacedAllowance also by the second.
var (
	windowAllowance = Allowance{Account: "a", Amount: amount, Rate: 36_000}
	pacedAllowance  = Allowance{Account: "a", Amount: amount, Rate: 36_000, Burst: 72_000}
)

// coordinatedFleet simulates instances of which the first five live ones are the coordinators.
// Instances are killed, and cut off from each other and from the store.
type coordinatedFleet struct {
	nodes   []*coordinatedNode
	records []storedRecord
	random  *rand.Rand
}

type coordinatedNode struct {
	id     fleet.InstanceID
	quota  *Quota
	killed bool
	// partitionedUntil is the end of a partition from all other instances, and storeDownUntil
	// the end of one from the store.
	partitionedUntil, storeDownUntil time.Time
	// lastSeen is when a message or record of each other instance was last received, and
	// receivedAt the time of the newest message from each.
	lastSeen, receivedAt []time.Time
	// silent holds the silent coordinators that the newest message from each names.
	silent [][]fleet.InstanceID
	// confirmed is when its rules were last confirmed.
	confirmed    time.Time
	recordsRead  int
	coordinators []fleet.InstanceID
}

type storedRecord struct {
	from        int
	consumption []Consumption
}

func newCoordinatedFleet(n int, seed uint64, allowances ...Allowance) *coordinatedFleet {
	f := &coordinatedFleet{random: rand.New(rand.NewPCG(seed, 11))}

	for i := range n {
		id := fleet.InstanceID(fmt.Sprint("entry-", i))
		q := New(Policy{
			Self: id, Window: 8 * time.Second, PropagationDelay: 4500 * time.Millisecond,
			DirectDelay: func(int) time.Duration { return 600 * time.Millisecond },
		})
		q.Configure(allowances)

		f.nodes = append(f.nodes, &coordinatedNode{
			id: id, quota: q, lastSeen: slices.Repeat([]time.Time{start}, n), receivedAt: make([]time.Time, n), confirmed: start,
			silent: make([][]fleet.InstanceID, n),
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

// exchange sends the consumption of each coordinator to the others, with what it knows of those
// that the receiver reported as silent. One message in twenty is lost.
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

			to.lastSeen[i], to.receivedAt[i], to.silent[i] = now, now, from.quota.SilentCoordinators(now)
			to.quota.Receive(now, from.id, 1, from.quota.Consumption(now))
			to.quota.ReceiveRelayed(now, from.quota.RelayConsumption(now, from.silent[j]))
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

// syncStore writes the record of an instance and reads those of the others.
func (f *coordinatedFleet) syncStore(now time.Time, node *coordinatedNode) {
	if node.killed || !now.After(node.storeDownUntil) {
		return
	}

	node.confirmed = now
	index := slices.Index(f.nodes, node)
	consumption, _ := node.quota.Record(now)
	f.records = append(f.records, storedRecord{from: index, consumption: consumption})

	for _, r := range f.records[node.recordsRead:] {
		node.lastSeen[r.from] = now

		if r.from != index {
			node.quota.Receive(now, f.nodes[r.from].id, 1, r.consumption)
		}
	}

	node.recordsRead = len(f.records)
	node.coordinators = nil

	for i, other := range f.nodes {
		if (i == index || now.Sub(node.lastSeen[i]) <= memberTimeout) && len(node.coordinators) < coordinators {
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

// take requests cost from an instance, and then from its lenders.
func (f *coordinatedFleet) take(now time.Time, i int, cost float64) bool {
	return f.decide(now, i, Charge{Account: "a", Cost: cost}).Granted
}

// decide decides a charge at an instance, and then at its lenders.
func (f *coordinatedFleet) decide(now time.Time, i int, charge Charge) Decision {
	node := f.nodes[i]
	if node.killed || now.Sub(node.confirmed) > rulesTimeout {
		return Decision{}
	}

	decision := node.quota.Take(now, charge.Account, charge.Cost)
	if decision.Granted {
		return decision
	}

	for _, id := range node.quota.Lenders(charge.Account) {
		j := slices.IndexFunc(f.nodes, func(n *coordinatedNode) bool { return n.id == id })
		lender := f.nodes[j]

		if j != i && (!f.connected(now, node, lender) || now.Sub(lender.confirmed) > rulesTimeout) {
			continue
		}

		if loan := lender.quota.LendTo(now, node.id, charge); loan.Granted || loan.Paced {
			return loan
		}
	}

	return decision
}

// Whichever coordinators are killed, partitioned or cut off from the store, and whichever
// instances replace them, no window exceeds the allowance.
func TestHoldsAllowanceWhenCoordinatorsChange(t *testing.T) {
	rapid.Check(t, holdsWhenCoordinatorsChange(windowAllowance))
}

// The same holds where the lenders also pace the account.
func TestHoldsPacedAllowanceWhenCoordinatorsChange(t *testing.T) {
	rapid.Check(t, holdsWhenCoordinatorsChange(pacedAllowance))
}

// The same holds while new rules, which reach the instances one after the other, change the rate
// and the burst, and whether lenders pace at all.
func TestHoldsPacedAllowanceWhenRulesChange(t *testing.T) {
	faster := Allowance{Account: "a", Amount: amount, Rate: 48_000, Burst: 20_000}
	rapid.Check(t, holdsWhenCoordinatorsChange(pacedAllowance, faster, windowAllowance))
}

// holdsWhenCoordinatorsChange returns a check of allowances of the same amount, of which each
// instance has one at a time, while coordinators are killed, partitioned and cut off from the store.
func holdsWhenCoordinatorsChange(allowances ...Allowance) func(*rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(6, 16).Draw(t, "instances")
		load := rapid.Float64Range(0.5, 8).Draw(t, "heat")
		f := newCoordinatedFleet(n, rapid.Uint64().Draw(t, "seed"), allowances[0])

		if got := maxInWindow(f.grantsUnderFaults(load, allowances)); got > amount {
			t.Fatalf("granted in a window: got %.0f, want at most %d", got, amount)
		}
	}
}

// A coordinator returns from a partition while another one, whose grants no record contains, is
// cut off from all.
func TestCoordinatorsThatCannotReachEachOtherStayWithinAllowance(t *testing.T) {
	if got := maxInWindow(newCoordinatedFleet(6, 8, windowAllowance).grantsUnderFaults(7, nil)); got > amount {
		t.Errorf("granted in a window: got %.0f, want at most %d", got, amount)
	}
}

// grantsUnderFaults returns what 40 s of requests are granted while instances are killed and cut
// off, and, if there are several allowances, change from one to another.
func (f *coordinatedFleet) grantsUnderFaults(load float64, allowances []Allowance) []increment {
	var grants []increment

	for tick := 1; tick < 400; tick++ {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)

		if f.random.IntN(30) == 0 {
			f.disrupt(now)
		}

		if len(allowances) > 1 && f.random.IntN(5) == 0 {
			f.nodes[f.random.IntN(len(f.nodes))].quota.Configure([]Allowance{allowances[f.random.IntN(len(allowances))]})
		}

		f.step(now, tick)

		for range f.random.IntN(int(2*load) + 1) {
			cost := 1000 + f.random.ExpFloat64()*10_000
			if f.take(now, f.random.IntN(len(f.nodes)), cost) {
				grants = append(grants, increment{at: now, amount: cost})
			}
		}
	}

	return grants
}

// disrupt kills an instance, or cuts it off for up to 10 s.
func (f *coordinatedFleet) disrupt(now time.Time) {
	node := f.nodes[f.random.IntN(len(f.nodes))]
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

// Five of 195 instances coordinate the limit of an account that demands nine tenths of it.
// With the remainder divided among all instances, each receives the updates of the others
// every 1.2 s and writes a record every 4.9 s, so the amount that may be lent between two
// records is soon used up.
func TestFewCoordinatorsServeManyInstances(t *testing.T) {
	const instances, warmUp, ticks = 195, 20, 220

	random := rand.New(rand.NewPCG(5, 5))

	type loanRequest struct {
		tick, at int
		cost     float64
	}

	var requests []loanRequest

	for tick := warmUp; tick < ticks; tick++ {
		for demanded := 0.0; ; {
			cost := 500 + random.ExpFloat64()*5_000
			if demanded += cost; demanded > 0.9*usableFraction*amount/80 {
				break
			}

			requests = append(requests, loanRequest{tick: tick, at: random.IntN(instances), cost: cost})
		}
	}

	refused := func(step func(time.Time, int), take func(time.Time, int, float64) bool) int {
		count, next := 0, 0

		for tick := 1; tick < ticks; tick++ {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			step(now, tick)

			for ; next < len(requests) && requests[next].tick == tick; next++ {
				if !take(now, requests[next].at, requests[next].cost) {
					count++
				}
			}
		}

		return count
	}

	coordinated := newCoordinatedFleet(instances, 5, windowAllowance)
	got := refused(coordinated.step, coordinated.take)

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
	sharedRefused := refused(slow, func(now time.Time, i int, cost float64) bool { return shared.take(now, i, cost).Granted })

	t.Logf("refused of %d: %d with coordinators, %d with shares for all", len(requests), got, sharedRefused)

	if most := len(requests) / 50; got > most {
		t.Errorf("refused with coordinators: got %d of %d, want at most %d", got, len(requests), most)
	}

	if got > sharedRefused/10 {
		t.Errorf("refused with coordinators: got %d, want at most a tenth of the %d with shares for all", got, sharedRefused)
	}
}

// A coordinator that is partitioned from the others, or has not read the records, grants
// nothing.
func TestCoordinatorWithoutQuorumGrantsNothing(t *testing.T) {
	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	q := New(Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: 2 * time.Second})
	q.Configure([]Allowance{{Account: "a", Amount: amount, Rate: 36_000}})
	q.MarkSynced(start)
	q.SetCoordinators(start.Add(time.Second), ids)

	now := start.Add(2 * time.Second)

	granted := func() bool {
		return q.Take(now, "a", 100).Granted || q.LendTo(now, "entry-9", Charge{Account: "a", Cost: 100}).Granted
	}

	q.Acknowledged(now, "entry-2")
	q.Acknowledged(now, "entry-3")

	if granted() {
		t.Error("before it has read the records: got a grant, want none")
	}

	q.MarkSynced(now)

	if !granted() {
		t.Error("with acknowledgments of two others: got no grant, want one")
	}

	now = now.Add(acknowledgmentTTL + time.Millisecond)

	if granted() {
		t.Error("after the acknowledgments expired: got a grant, want none")
	}

	q.Acknowledged(now, "entry-4")

	if granted() {
		t.Error("with an acknowledgment of one other: got a grant, want none")
	}
}
