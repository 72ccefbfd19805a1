package ratelimit

import (
	"testing"
	"time"
)

func TestLimitIsLiftedOnlyByLaterRequest(t *testing.T) {
	const latency = time.Second

	now := time.Unix(1000, 0)
	limited := Announcement{Rate: 2, At: now}

	for name, tt := range map[string]struct {
		rate Rate
		sent time.Duration
		want Announcement
	}{
		"a stricter limit of an earlier request":    {rate: 1, sent: -latency, want: Announcement{Rate: 1, At: now.Add(latency)}},
		"the same limit of an earlier request":      {rate: 2, sent: -latency, want: Announcement{Rate: 2, At: now.Add(latency)}},
		"a wider limit of an earlier request":       {rate: 3, sent: -latency, want: limited},
		"no limit in response to an earlier one":    {rate: Unlimited, sent: -latency, want: limited},
		"no limit in response to one sent together": {rate: Unlimited, want: limited},
		"a wider limit of a later request":          {rate: 3, sent: time.Millisecond, want: Announcement{Rate: 3, At: now.Add(time.Millisecond)}},
		"no limit in response to a later request":   {rate: Unlimited, sent: time.Millisecond, want: Announcement{Rate: Unlimited, At: now.Add(time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := limited.Observed(tt.rate, now.Add(tt.sent), now.Add(latency)); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// A response without a limit to a request sent before another response announced the limit
// does not hide that limit from an instance that receives its announcement later.
func TestResponseInFlightDoesNotHideLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	announced := Announcement{Rate: 2, At: now}

	got := Announcement{}.Observed(Unlimited, now.Add(-time.Second), now.Add(time.Second)).Newest(announced)
	if got != announced {
		t.Errorf("got %+v, want %+v", got, announced)
	}
}
