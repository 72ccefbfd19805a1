package fairqueue

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// owner is a flow of a weight.
type owner struct {
	name   string
	weight float64
}

func (o owner) Name() string    { return o.name }
func (o owner) Weight() float64 { return o.weight }

type testEntry = Entry[owner, int]

func drawEntry(t *rapid.T, number int) *testEntry {
	return &testEntry{
		Value: number,
		Flow:  owner{name: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "owner")), weight: 1},
		Rank:  rapid.IntRange(0, 2).Draw(t, "rank"),
		Cost:  float64(rapid.IntRange(0, 9).Draw(t, "cost")), Bytes: int64(rapid.IntRange(0, 400).Draw(t, "bytes")),
		ArrivedAt: start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "arrival"))),
	}
}

func TestHoldsTreeIsInOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			tr   tree[owner, int]
			want []*testEntry
		)

		for number := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(want) > 0 && rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				i := rapid.IntRange(0, len(want)-1).Draw(t, "removed")
				tr.remove(want[i])
				want = slices.Delete(want, i, i+1)
			} else {
				e := drawEntry(t, number)
				e.sequence = uint64(number) + 1
				tr.insert(e)
				want = append(want, e)
			}

			slices.SortFunc(want, func(a, b *testEntry) int {
				return cmp.Or(a.ArrivedAt.Compare(b.ArrivedAt), cmp.Compare(a.sequence, b.sequence))
			})

			if got := slices.Collect(tr.all()); !slices.Equal(got, want) {
				t.Fatalf("requests: got %v, want %v", got, want)
			}

			sum := 0.0

			for i, e := range want {
				if count, cost := tr.before(e); count != i || cost != sum {
					t.Fatalf("before request %d: got %d requests of cost %v, want %d of %v", i, count, cost, i, sum)
				}

				sum += e.work()
			}
		}
	})
}

func TestHoldsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[owner, int]()
		q.SetLimits(Limits{Requests: 12, Bytes: 1500, FlowRequests: 6, FlowBytes: 900})

		queued := make(map[*testEntry]bool)

		for number := range rapid.IntRange(1, 80).Draw(t, "steps") {
			e := drawEntry(t, number)
			queued[e] = true

			for _, out := range q.Push(e) {
				delete(queued, out)

				if out.Rank < e.Rank {
					t.Fatalf("evicted: got rank %d for a request of rank %d, want the same or a higher one", out.Rank, e.Rank)
				}
			}

			byOwner := make(map[owner]usage)
			total := usage{}

			for e := range queued {
				u := byOwner[e.Flow]
				byOwner[e.Flow] = usage{requests: u.requests + 1, bytes: u.bytes + e.Bytes}
				total = usage{requests: total.requests + 1, bytes: total.bytes + e.Bytes}
			}

			if got := (usage{requests: q.Len(), bytes: q.Bytes()}); got != total || got.requests > 12 || got.bytes > 1500 {
				t.Fatalf("queued: got %v, want %v within the bounds", got, total)
			}

			for o, u := range byOwner {
				if u.requests > 6 || u.bytes > 900 {
					t.Fatalf("queued of %s: got %v, want it within the bounds", o.name, u)
				}
			}

			if rapid.IntRange(0, 3).Draw(t, "step") == 0 && q.Len() > 0 {
				delete(queued, q.Pop())
			}
		}
	})
}

func TestHoldsAllIsOrderOfStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[owner, int]()

		for number := range rapid.IntRange(1, 40).Draw(t, "requests") {
			e := drawEntry(t, number)
			e.Rank = 0
			q.Push(e)
		}

		for range rapid.IntRange(0, 5).Draw(t, "started") {
			if q.Len() > 0 {
				q.Pop()
			}
		}

		want := slices.Collect(q.All())
		if got := q.DrainAll(); !slices.Equal(got, want) {
			t.Fatalf("order of starts: got %v, want %v", got, want)
		}
	})
}

// Two owners that always have requests are served in proportion to their weights, in cost, up to
// one request of each.
func TestHoldsShareInCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := []owner{
			{name: "a", weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))},
			{name: "b", weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))},
		}
		q := New[owner, int]()
		served := make(map[owner]float64)
		largest := 50.0

		push := func(o owner) {
			q.Push(&testEntry{Flow: o, Cost: float64(rapid.IntRange(1, int(largest)).Draw(t, "cost")), ArrivedAt: start})
		}

		for _, o := range owners {
			push(o)
			push(o)
		}

		for range 200 {
			e := q.Pop()
			served[e.Flow] += e.Cost
			push(e.Flow)

			got := math.Abs(served[owners[0]]/owners[0].weight - served[owners[1]]/owners[1].weight)
			if want := largest/owners[0].weight + largest/owners[1].weight; got > want {
				t.Fatalf("difference of weighted cost: got %v, want at most %v", got, want)
			}
		}
	})
}

// A request of a higher rank starts after at most ten times the number of requests before it at
// ranks above the lowest, however many of the lowest rank arrive.
func TestHoldsNoRankStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[owner, int]()
		waiting := rapid.IntRange(1, 20).Draw(t, "waiting")

		for i := range waiting {
			q.Push(&testEntry{
				Rank: rapid.IntRange(1, 3).Draw(t, "rank"), Flow: owner{name: fmt.Sprint(i % 3), weight: 1}, Cost: 9, ArrivedAt: start,
			})
		}

		for range waiting * higherRankInterval {
			q.Push(&testEntry{Flow: owner{name: "urgent", weight: 1}, ArrivedAt: start})
			q.Push(&testEntry{Flow: owner{name: "urgent", weight: 1}, ArrivedAt: start})

			if q.Pop().Rank > 0 {
				waiting--
			}
		}

		if waiting > 0 {
			t.Fatalf("requests of higher ranks that wait: got %d, want 0", waiting)
		}
	})
}

func TestRanksWithoutTurnWait(t *testing.T) {
	q := New[owner, int]()
	q.NoTurn = func(rank int) bool { return rank == 1 }
	q.Push(&testEntry{Rank: 1, ArrivedAt: start})

	for range 3 * higherRankInterval {
		q.Push(&testEntry{Rank: 0, ArrivedAt: start})
	}

	for range 3 * higherRankInterval {
		if got := q.Pop().Rank; got != 0 {
			t.Fatalf("rank of the next request: got %d, want 0", got)
		}
	}
}

// A request that is added again keeps its place.
func TestOrderOfArrivalIsKept(t *testing.T) {
	q := New[owner, int]()
	first, second := &testEntry{Value: 1, ArrivedAt: start}, &testEntry{Value: 2, ArrivedAt: start.Add(1)}
	q.Push(first)
	q.Push(second)
	q.Start(first)
	q.Push(first)

	if got := q.Pop(); got != first {
		t.Errorf("next request: got %d, want 1", got.Value)
	}
}

func TestWeightsThatAreNotPositiveCountAsOne(t *testing.T) {
	for _, weight := range []float64{0, -3, math.NaN(), math.Inf(1)} {
		if got := weightOf(owner{weight: weight}); got != 1 {
			t.Errorf("weight %v: got %v, want 1", weight, got)
		}
	}

	for _, cost := range []float64{0, -3, math.NaN()} {
		if got := (&testEntry{Cost: cost}).work(); got != 1 {
			t.Errorf("cost %v: got %v, want 1", cost, got)
		}
	}
}

func TestCostAheadCountsWorkOfFairShare(t *testing.T) {
	q := New[owner, int]()
	large, small := owner{name: "large", weight: 1}, owner{name: "small", weight: 1}

	for range 10 {
		q.Push(&testEntry{Flow: large, Cost: 100, ArrivedAt: start})
	}

	if got, want := q.CostAhead(&testEntry{Flow: large, ArrivedAt: start}), 1000.0; got != want {
		t.Errorf("cost ahead of the large flow: got %v, want %v", got, want)
	}

	if got, want := q.CostAhead(&testEntry{Flow: small, ArrivedAt: start}), 0.0; got != want {
		t.Errorf("cost ahead of the small flow: got %v, want %v", got, want)
	}

	if got, want := q.CostAhead(&testEntry{Flow: small, Rank: 1, ArrivedAt: start}), 1000.0; got != want {
		t.Errorf("cost ahead at a higher rank: got %v, want %v", got, want)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{1, 100, 5000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := New[owner, int]()
			for i := range waiting {
				q.Push(&testEntry{Flow: owner{name: fmt.Sprint(i % 16), weight: 1}, Cost: 100, ArrivedAt: start.Add(time.Duration(i))})
			}

			b.ReportAllocs()

			for b.Loop() {
				q.Push(q.Pop())
			}
		})
	}
}
