package quota

import (
	"testing"
	"time"
)

// BenchmarkLend measures the decision of a lender, and of an instance that shares with others.
func BenchmarkLend(b *testing.B) {
	small := Charge{Account: "a", Cost: 1e-6}

	for _, bench := range []struct {
		name      string
		allowance Allowance
		charge    Charge
	}{
		{"window", windowAllowance, small},
		{"paced", pacedAllowance, small},
		{"refused by window", windowAllowance, Charge{Account: "a", Cost: 1e9}},
		{"refused by bucket", Allowance{Account: "a", Amount: amount, Rate: 1e-3, Burst: 1e-6}, Charge{Account: "a", Cost: 1, Priority: 2}},
	} {
		b.Run(bench.name, func(b *testing.B) {
			q := newCoordinator(start, "entry-1", bench.allowance)

			for b.Loop() {
				q.LendTo(start, "entry-9", bench.charge)
			}
		})
	}

	b.Run("shared", func(b *testing.B) {
		q := New(Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: time.Second})
		q.Configure([]Allowance{windowAllowance})
		q.SetMembers(nil, nil)
		q.MarkSynced(start)

		for b.Loop() {
			q.Take(start, "a", 1e-6)
		}
	})
}
