package admission

import (
	"testing"
	"time"

	"monsoonlever/fleet"
)

// Guards against refusing a small burst of an account that was idle, and against admitting too much of
// a large one: three instances are flooded at the same time, and together may admit no more than the
// limit and four seconds of it on top.
func TestIdleAccountBurstsWithinLimit(t *testing.T) {
	const (
		perSecond      = 5
		flood          = 10 * time.Second
		step           = 100 * time.Millisecond
		burstAllowance = 4 * time.Second
	)

	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3"}
	controllers := make([]*Controller, len(ids))
	now := start

	for i, id := range ids {
		controllers[i] = &Controller{Instance: id, Sharing: Sharing{PropagationDelay: time.Second, MemberTimeout: 10 * time.Second, EvenFraction: 0.1}}

		err := controllers[i].Configure(now, Config{
			Services: []ServiceConfig{{Service: testService}},
			Accounts: []AccountConfig{{Account: testAccount, RequestsPerSecond: perSecond}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}

	exchange := func() {
		for i, from := range controllers {
			d := from.PublishDemand(now)
			for j, to := range controllers {
				if i != j {
					to.ApplyDemand(now, ids[i], d)
				}
			}
		}
	}

	for range 100 {
		now = now.Add(step)
		exchange()
	}

	admitted := make([]int, len(ids))
	first := make([]int, len(ids))

	for floodStart := now; now.Sub(floodStart) < flood; now = now.Add(step) {
		for i, c := range controllers {
			for range 5 {
				ticket := c.Admit(now, Request{Service: testService, Account: testAccount, Kind: testRequest().Kind})
				if d, _ := ticket.Decision(); d.Verdict != Admitted {
					continue
				}

				admitted[i]++
				c.Finish(now, ticket, Outcome{Duration: time.Millisecond})
			}

			if now.Equal(floodStart) {
				first[i] = admitted[i]
			}
		}

		exchange()
	}

	total := 0

	for i, n := range admitted {
		total += n

		if first[i] < 3 {
			t.Errorf("%s: got %d of the first 5 calls admitted, want at least 3", ids[i], first[i])
		}
	}

	if most := int(perSecond * (flood + burstAllowance).Seconds()); total > most {
		t.Errorf("admitted by all instances: got %d in %v, want at most %d", total, flood, most)
	}
}
