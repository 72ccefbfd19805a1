package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/backend"
	"monsoonlever/controller"
	"monsoonlever/fleet"
)

func holds(version fleet.ModelVersion) func(backend.EngineState) bool {
	return func(s backend.EngineState) bool { return s.Version == version && s.Ready }
}

// serves tells whether requests are routed to an engine.
func serves(s backend.EngineState) bool {
	return s.Ready && s.Role == ""
}

func TestRolloutKeepsReadyRunners(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(t)
			r.addEngines(checks, 40*time.Second, domains...)
			all := []*candidate{r.start("entry-1"), r.start("entry-2")}
			time.Sleep(time.Minute)

			if got := r.count(holds(oldVersion)); got != len(domains) {
				t.Fatalf("before the roll-out: got %d runners, want %d", got, len(domains))
			}

			r.publish(oldVersion, newVersion)

			fewest := len(domains)
			took := r.until("roll-out", 10*time.Minute, func() bool {
				fewest = min(fewest, r.count(serves))

				return r.count(holds(newVersion)) == len(domains)
			})

			time.Sleep(10 * time.Second)
			t.Logf("rolled out in %s, fewest ready runners %d", took, fewest)

			if fewest < len(domains)-1 {
				t.Errorf("ready runners: got %d at worst, want %d", fewest, len(domains)-1)
			}

			if got := r.count(serves); got != len(domains) {
				t.Errorf("runners after the roll-out: got %d, want %d", got, len(domains))
			}

			r.end(all...)
		})
	}
}

// slowClient holds orders between their check and their send.
type slowClient struct {
	controller.Client

	held    chan struct{}
	holding chan struct{}
}

// Order waits as a paused process does, and then sends as if nothing had been.
func (c *slowClient) Order(_ context.Context, o backend.Order) error {
	select {
	case c.holding <- struct{}{}:
		<-c.held
	default:
	}

	return c.Client.Order(context.Background(), o)
}

func TestOrderOfAPausedHolderChangesNothingForLong(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(t)
			r.addEngines(checks, time.Second, domains...)

			slow := &slowClient{Client: r.servers["engine-0"].client, held: make(chan struct{}), holding: make(chan struct{}, 1)}
			first := r.start("entry-1", func(c *controller.Controller) {
				c.Servers = replaced{region: r, id: "engine-0", client: slow}
			})
			r.until("held order", time.Minute, func() bool { return len(slow.holding) == 1 })
			first.clock.pause()

			second := r.start("entry-2")
			r.publish(oldVersion, newVersion)
			r.until("roll-out by the second", 5*time.Minute, func() bool {
				return r.count(holds(newVersion)) == len(domains)
			})

			close(slow.held)
			time.Sleep(time.Second)

			stale := r.count(holds(newVersion)) != len(domains)
			if checks && stale {
				t.Errorf("stale order at an engine that checks: got it taken, want refused")
			}

			r.until("convergence", time.Minute, func() bool { return r.count(holds(newVersion)) == len(domains) })
			first.clock.resume()
			time.Sleep(time.Minute)

			if got := r.count(holds(newVersion)); got != len(domains) || first.Status().IsHolder {
				t.Errorf("after the pause: got %d runners, want %d, and the first not to hold", got, len(domains))
			}

			r.end(first, second)
		})
	}
}

// replaced is a region with another client for one server.
type replaced struct {
	*region

	id     fleet.InstanceID
	client controller.Client
}

// All implements controller.Servers.
func (r replaced) All() ([]controller.Server, bool) {
	all, listed := r.region.All()

	for i := range all {
		if all[i].ID == r.id {
			all[i].Client = r.client
		}
	}

	return all, listed
}
