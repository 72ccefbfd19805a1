package admission

import (
	"context"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	testService = fleet.Service("ledger-llm")
	testKind    = fleet.CallKind("reconcile")
	testAccount = fleet.Account("wholesale-1")
)

func testConfig(concurrent, queued int, accounts ...AccountConfig) Config {
	return Config{
		Services: []ServiceConfig{{
			Service:         testService,
			MinConcurrent:   concurrent,
			MaxConcurrent:   concurrent,
			StartConcurrent: concurrent,
			QueueRequests:   queued,
			Kinds:           []KindConfig{{Kind: testKind, Target: time.Second}},
		}},
		Accounts: accounts,
	}
}

func newController(t interface{ Fatalf(string, ...any) }, config Config) *Controller {
	c := &Controller{Instance: "entry-1", Clock: clock.NewManual(start)}

	if err := c.Configure(start, config); err != nil {
		t.Fatalf("configure: %v", err)
	}

	return c
}

func testRequest() Request {
	return Request{Service: testService, Account: testAccount, Kind: testKind}
}

func TestAdmitRunsThenQueuesThenRefuses(t *testing.T) {
	c := newController(t, testConfig(1, 1, AccountConfig{Account: testAccount}))

	first := c.Admit(start, testRequest())
	second := c.Admit(start, testRequest())
	third := c.Admit(start, testRequest())

	if got, _ := first.Decision(); got.Verdict != Admitted {
		t.Errorf("first: got %v, want %v", got.Verdict, Admitted)
	}

	if got, final := second.Decision(); final || got.Verdict != Queued {
		t.Errorf("second: got %v final %v, want %v", got.Verdict, final, Queued)
	}

	if got, _ := third.Decision(); got.Verdict != Refused || got.Reason != QueueFull || got.RetryAfter <= 0 {
		t.Errorf("third: got %+v, want a refusal for a full queue with a retry delay", got)
	}

	c.Finish(start.Add(time.Second), first, Outcome{Latency: time.Second, Duration: time.Second})

	got := second.Wait(context.Background())
	if want := (Decision{Verdict: Admitted, Waited: time.Second}); got != want {
		t.Errorf("second after finish: got %+v, want %+v", got, want)
	}
}

func TestAdmitRefusesWithReason(t *testing.T) {
	limited := AccountConfig{Account: testAccount, RequestsPerSecond: 1, TokensPerSecond: 100, Concurrent: 2}

	tests := []struct {
		desc   string
		before []Request
		give   Request
		want   Reason
	}{
		{desc: "unknown service", give: Request{Service: "x", Account: testAccount}, want: UnknownService},
		{desc: "unknown account", give: Request{Service: testService, Account: "x"}, want: UnknownAccount},
		{
			desc: "deadline passed",
			give: Request{Service: testService, Account: testAccount, Deadline: start},
			want: DeadlineTooShort,
		},
		{desc: "request rate exceeded", before: []Request{testRequest()}, give: testRequest(), want: RequestRate},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := newController(t, testConfig(10, 10, limited))

			for _, r := range tt.before {
				c.Admit(start, r)
			}

			got, final := c.Admit(start, tt.give).Decision()
			if !final || got.Reason != tt.want || got.RetryAfter <= 0 {
				t.Errorf("got %+v final %v, want reason %v", got, final, tt.want)
			}
		})
	}
}

func TestFinishSubtractsQueueTime(t *testing.T) {
	c := newController(t, testConfig(1, 10, AccountConfig{Account: testAccount}))
	s := c.table.Load().services[testService]
	now := start

	first := c.Admit(now, testRequest())
	second := c.Admit(now, testRequest())

	for _, ticket := range []*Ticket{first, second} {
		now = now.Add(time.Second)
		took := now.Sub(ticket.Arrived())
		c.Finish(now, ticket, Outcome{Latency: took, Duration: took})
	}

	if got, want := s.limiter.serviceTime(), time.Second; got != want {
		t.Errorf("service time: got %v, want %v", got, want)
	}
}
