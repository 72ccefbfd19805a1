package admission

import (
	"testing"
	"time"
)

func TestAccountLimitsOverTime(t *testing.T) {
	tests := []struct {
		desc   string
		config AccountConfig
		tokens int
		// want is the most that may be admitted in 10 seconds.
		want int
		low  int
	}{
		{desc: "requests", config: AccountConfig{RequestsPerSecond: 5}, want: 55, low: 50},
		{desc: "tokens", config: AccountConfig{TokensPerSecond: 1000}, tokens: 100, want: 110, low: 100},
		{desc: "tokens above the burst", config: AccountConfig{TokensPerSecond: 100}, tokens: 500, want: 3, low: 2},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tt.config.Account = testAccount
			c := newController(t, testConfig(1000, 10, tt.config))
			r := testRequest()
			r.Tokens = tt.tokens
			got := 0

			for now := start; now.Sub(start) < 10*time.Second; now = now.Add(10 * time.Millisecond) {
				ticket := c.Admit(now, r)
				if d, _ := ticket.Decision(); d.Verdict == Admitted {
					got++
				}

				c.Finish(now, ticket, Outcome{Duration: time.Millisecond, Tokens: tt.tokens})
			}

			if got < tt.low || got > tt.want {
				t.Errorf("admitted: got %d, want %d to %d", got, tt.low, tt.want)
			}
		})
	}
}

func TestShareBelowOneRequestLimitsItsTime(t *testing.T) {
	c := newController(t, testConfig(1000, 10, AccountConfig{Account: testAccount, Concurrent: 1}))
	a := c.table.Load().accounts[testAccount]
	a.limits.Store(&limits{config: AccountConfig{Concurrent: 1}, share: 0.25})

	first := c.Admit(start, testRequest())
	c.Finish(start.Add(time.Second), first, Outcome{Duration: time.Second})

	tests := []struct {
		desc string
		at   time.Duration
		want Verdict
	}{
		{desc: "idle for three quarters of the time", at: 3900 * time.Millisecond, want: Refused},
		{desc: "runs the next request after that", at: 4 * time.Second, want: Admitted},
	}

	for _, tt := range tests {
		if got, _ := c.Admit(start.Add(tt.at), testRequest()).Decision(); got.Verdict != tt.want {
			t.Errorf("%s: got %v, want %v", tt.desc, got.Verdict, tt.want)
		}
	}
}
