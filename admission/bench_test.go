package admission

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
)

func benchAccounts(n int) []AccountConfig {
	accounts := make([]AccountConfig, n)
	for i := range accounts {
		accounts[i] = AccountConfig{
			Account:           fleet.Account(fmt.Sprintf("wholesale-%d", i)),
			RequestsPerSecond: 1e9,
			TokensPerSecond:   1e12,
			Concurrent:        1 << 20,
		}
	}

	return accounts
}

func benchRequests(accounts []AccountConfig) []Request {
	requests := make([]Request, len(accounts))
	for i, a := range accounts {
		requests[i] = Request{Service: testService, Account: a.Account, Kind: testKind, Tokens: 100}
	}

	return requests
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{5, 100, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			accounts := benchAccounts(n)
			requests := benchRequests(accounts)
			c := newController(b, testConfig(1024, 256, accounts...))
			o := Outcome{Latency: time.Millisecond, Duration: time.Millisecond}
			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Microsecond)
				c.Finish(now, c.Admit(now, requests[i%n]), o)
			}
		})
	}
}

func BenchmarkAdmitParallel(b *testing.B) {
	accounts := benchAccounts(100)
	requests := benchRequests(accounts)
	c := newController(b, testConfig(1024, 256, accounts...))
	o := Outcome{Latency: time.Millisecond, Duration: time.Millisecond}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			c.Finish(start, c.Admit(start, requests[i%len(requests)]), o)
		}
	})
}

// BenchmarkAdmitOverload measures one request at a service whose queue is full, with one start for
// every fifth arrival.
func BenchmarkAdmitOverload(b *testing.B) {
	for _, n := range []int{5, 100, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			accounts := benchAccounts(n)
			requests := benchRequests(accounts)
			c := newController(b, testConfig(1, 256, accounts...))
			waiting := []*Ticket{c.Admit(start, requests[0])}
			o := Outcome{Latency: time.Millisecond, Duration: time.Millisecond}
			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				waiting = append(waiting, c.Admit(start, requests[i%n]))

				if i%5 == 0 {
					waiting = finishAdmitted(c, waiting, o)
				}
			}
		})
	}
}

// finishAdmitted finishes the admitted requests and returns those that are still queued.
func finishAdmitted(c *Controller, tickets []*Ticket, o Outcome) []*Ticket {
	queued := tickets[:0]

	for _, t := range tickets {
		d, final := t.Decision()

		switch {
		case !final:
			queued = append(queued, t)
		case d.Verdict == Admitted:
			c.Finish(start, t, o)
		}
	}

	return queued
}

func BenchmarkRebalance(b *testing.B) {
	for _, members := range []int{9, 410} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			accounts := benchAccounts(1000)
			c := &Controller{Instance: "entry", Sharing: Sharing{PropagationDelay: time.Second}}

			if err := c.Configure(start, testConfig(10, 10, accounts...)); err != nil {
				b.Fatal(err)
			}

			for i := range members {
				d := Demand{At: start.UnixMilli(), Floor: initialWeight}
				for j := range MaxDemandAccounts {
					d.Accounts = append(d.Accounts, AccountDemand{Account: uint64(i * j), Weight: 0.5})
				}

				c.ApplyDemand(start, fleet.InstanceID(fmt.Sprintf("entry-%d", i)), d)
			}

			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				c.PublishDemand(start.Add(time.Duration(i) * 250 * time.Millisecond))
			}
		})
	}
}
