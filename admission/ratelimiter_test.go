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
		{desc: "a greater share earns it sooner", old: 0.1, new: 0.8, want: 3750 * time.Millisecond},
		{desc: "a smaller share later", old: 0.8, new: 0.1, want: 30 * time.Second},
		{desc: "no share changes nothing", old: 0.1, new: 0, want: 30 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			a := &account{}

			if _, ok := a.tokenRate.take(start, 9000, limit*tt.old, baseBurst); !ok {
				t.Fatal("a request above the burst: got refused, want taken as nothing is owed")
			}

			a.rescale(start, tt.old, tt.new)

			got := time.Duration(a.tokenRate.theoreticalArrival.Load() - start.UnixNano())
			if diff := got - tt.want; diff < -time.Millisecond || diff > time.Millisecond {
				t.Errorf("earned after: got %v, want %v", got, tt.want)
			}
		})
	}
}
