package controller_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

func TestLeaseMovesWhenHolderStops(t *testing.T) {
	tests := []struct {
		desc string
		end  func(*candidate)
		most time.Duration
	}{
		{desc: "in order", end: func(c *candidate) { c.stop() }, most: 6 * time.Second},
		{desc: "paused for good", end: func(c *candidate) { c.clock.pause() }, most: 17 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t)
				first := r.start("entry-1")
				r.waitFor("holder", 15*time.Second, func() bool { return first.Status().IsHolder })

				second := r.start("entry-2")
				time.Sleep(time.Minute)

				if got := len(holders(first, second)); got != 1 || !first.Status().IsHolder {
					t.Fatalf("holders: got %d, want only the first", got)
				}

				fence := first.Status().Fence
				tt.end(first)
				took := r.waitFor("second holder", tt.most, func() bool { return second.Status().IsHolder })

				if first.Status().IsHolder {
					t.Errorf("first holder after %s: got the lease still held, want it lost", took)
				}

				if got := second.Status(); got.Fence <= fence || got.Holder != "entry-2" || !got.ExpiresAt.After(time.Now()) {
					t.Errorf("status: got %+v, want a greater fence than %d and a time", got, fence)
				}

				r.stopAll(first, second)
			})
		})
	}
}

func TestLogOutageNeverYieldsTwoHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		r.addEngines(true, time.Second, domains...)
		all := []*candidate{r.start("entry-1"), r.start("entry-2"), r.start("entry-3")}
		r.waitFor("holder", 15*time.Second, func() bool { return len(holders(all...)) == 1 })
		time.Sleep(time.Minute)

		before := r.log.Appends()
		_ = r.log.Faults.Apply(standin.FaultOrder{Kind: standin.Down, Duration: standin.Duration(time.Hour)})
		r.waitFor("end of the term", 10*time.Second, func() bool { return len(holders(all...)) == 0 })
		r.setManifest(oldVersion, newVersion)
		time.Sleep(time.Hour - 10*time.Second)

		if got := r.count(servesVersion(newVersion)); got != 0 || r.log.Appends() != before {
			t.Errorf("in the outage: got %d engines ordered and %d appends, want none", got, r.log.Appends()-before)
		}

		r.waitFor("holder after the outage", 30*time.Second, func() bool { return len(holders(all...)) == 1 })

		for range 600 {
			if got := len(holders(all...)); got > 1 {
				t.Fatalf("holders: got %d, want one", got)
			}

			time.Sleep(100 * time.Millisecond)
		}

		r.stopAll(all...)
	})
}

func TestInstanceStartsFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		r.log.MaxRecords = 200
		first := r.start("entry-1")
		time.Sleep(2 * time.Hour)

		late := r.start("entry-2")
		time.Sleep(time.Minute)

		if got, want := late.Status().Fence, first.Status().Fence; got != want || !first.Status().IsHolder {
			t.Errorf("fence as the late instance reads it: got %d, want %d", got, want)
		}

		first.clock.pause()
		r.waitFor("late holder", 17*time.Second, func() bool { return late.Status().IsHolder })
		r.stopAll(first, late)
	})
}

func TestCostIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		r.addEngines(true, 0, domains...)

		for id, s := range r.servers {
			r.cloud.Adopt(provider.Instance{ID: id, Class: "gpu-large", Domain: s.domain, Market: provider.Reclaimable})
		}

		r.cloud.Adopt(provider.Instance{ID: "entry-1", Class: "cpu-medium", Domain: domains[0], Market: provider.OnDemand})

		all := []*candidate{r.start("entry-1"), r.start("entry-2"), r.start("entry-3")}
		time.Sleep(15 * time.Minute)
		holders(all...)[0].clock.pause()
		time.Sleep(15 * time.Minute)

		for _, c := range all {
			c.clock.resume()
		}

		time.Sleep(30 * time.Minute)

		// The gap between two holders is not recorded; no time is recorded twice.
		want := 92 + 97.5 + 84 + 88.5
		if got := r.cost(modelService); got > want || math.Abs(got-want) > 0.01*want {
			t.Errorf("cost of an hour: got %.2f, want within 1%% below %.2f", got, want)
		}

		if got := r.cost(fleet.Service("")); got != 0 {
			t.Errorf("cost of no service: got %.2f, want 0", got)
		}

		r.stopAll(all...)
	})
}
