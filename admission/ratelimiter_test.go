package admission

import (
	"testing"
	"time"
)

func TestRescaleKeepsConsumedTokens(t *testing.T) {
	const limit = 3000

	tests := []struct {
		desc     string
		old, new float64
		want     time.Duration
	}{
		{desc: "greater share replenishes sooner", old: 0.1, new: 0.8, want: 3750 * time.Millisecond},
		{desc: "smaller share replenishes later", old: 0.8, new: 0.1, want: 30 * time.Second},
		{desc: "zero share changes nothing", old: 0.1, new: 0, want: 30 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			a := &account{}

			if _, ok := a.tokenRate.take(start, 9000, limit*tt.old, baseBurst); !ok {
				t.Fatal("request above the burst: got refused, want it taken, as nothing is outstanding")
			}

			a.rescale(start, tt.old, tt.new)

			got := time.Duration(a.tokenRate.theoreticalArrival.Load() - start.UnixNano())
			if diff := got - tt.want; diff < -time.Millisecond || diff > time.Millisecond {
				t.Errorf("replenished after: got %v, want %v", got, tt.want)
			}
		})
	}
}
