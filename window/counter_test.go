package window

import (
	"slices"
	"sync"
	"testing"
	"time"
)

func TestCounterSumsNewestBuckets(t *testing.T) {
	start := time.Unix(1_000_000, 0)

	tests := []struct {
		desc  string
		at    time.Duration
		sumAt time.Duration
		n     int
		want  int64
	}{
		{desc: "same bucket", at: 0, sumAt: 999 * time.Millisecond, n: 1, want: 3},
		{desc: "bucket before", at: 0, sumAt: time.Second, n: 1, want: 0},
		{desc: "bucket before in window", at: 0, sumAt: time.Second, n: 2, want: 3},
		{desc: "last bucket of the ring", at: 0, sumAt: 3 * time.Second, n: 4, want: 3},
		{desc: "after a full pass over the ring", at: 0, sumAt: 4 * time.Second, n: 4, want: 0},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := NewCounter(time.Second, 4)
			c.Add(start.Add(tt.at), 5)
			c.Add(start.Add(tt.at), -2)

			if got := c.Sum(start.Add(tt.sumAt), tt.n); got != tt.want {
				t.Errorf("sum: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestCounterRecoversAfterClockSetBack(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	c := NewCounter(time.Second, 4)
	c.Add(start.Add(time.Hour), 7)
	c.Add(start, 1)

	if got, want := c.Sum(start, 4), int64(1); got != want {
		t.Errorf("sum: got %d, want %d", got, want)
	}
}

func TestCounterCountsConcurrentAdds(t *testing.T) {
	const workers, adds = 4, 1000

	now := time.Unix(1_000_000, 0)
	c := NewCounter(time.Second, 4)

	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range adds {
				c.Add(now, 1)
			}
		})
	}
	wg.Wait()

	if got, want := c.Since(now, now), int64(workers*adds); got != want {
		t.Errorf("sum: got %d, want %d", got, want)
	}
}

func TestCounterTellsNewestBuckets(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	c := NewCounter(time.Second, 4)

	for i := range 6 {
		c.Add(start.Add(time.Duration(i)*time.Second), int32(i))
	}

	got := []int64{9, 9, 9, 9}
	c.Newest(start.Add(6*time.Second), got)

	if want := []int64{0, 5, 4, 3}; !slices.Equal(got, want) {
		t.Errorf("newest buckets: got %v, want %v", got, want)
	}
}
