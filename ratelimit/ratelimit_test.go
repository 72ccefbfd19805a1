package ratelimit

import (
	"testing"
	"time"
)

func TestALimitIsLiftedOnlyByALaterRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := Announcement{Rate: 2, At: now}

	for name, tt := range map[string]struct {
		next Rate
		sent time.Duration
		want bool
	}{
		"a stricter limit of an earlier request":  {next: 1, sent: -time.Second, want: true},
		"the same limit of an earlier request":    {next: 2, sent: -time.Second, want: true},
		"a wider limit of an earlier request":     {next: 3, sent: -time.Second},
		"no limit in answer to an earlier one":    {next: Unlimited, sent: -time.Second},
		"a wider limit of a later request":        {next: 3, sent: time.Millisecond, want: true},
		"no limit in answer to a later request":   {next: Unlimited, sent: time.Millisecond, want: true},
		"no limit in answer to one sent together": {next: Unlimited},
	} {
		t.Run(name, func(t *testing.T) {
			next := Announcement{Rate: tt.next, At: now.Add(time.Second)}
			if got := limited.Admits(next, now.Add(tt.sent)); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
