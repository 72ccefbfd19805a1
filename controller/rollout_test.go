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

func servesVersion(version fleet.ModelVersion) func(backend.EngineState) bool {
	return func(s backend.EngineState) bool { return s.Version == version && s.Ready }
}

// isRoutable reports whether requests are routed to an engine.
func isRoutable(s backend.EngineState) bool {
	return s.Ready && s.Role == ""
}

func TestRolloutKeepsReadyRunners(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(t)
			r.addEngines(checks, 40*time.Second, domains...)
			all := []*candidate{r.start("entry-1"), r.start("entry-2")}
			time.Sleep(time.Minute)

			if got := r.count(servesVersion(oldVersion)); got != len(domains) {
				t.Fatalf("before the roll-out: got %d runners, want %d", got, len(domains))
			}

			r.setManifest(oldVersion, newVersion)

			fewest := len(domains)
			took := r.waitFor("roll-out", 10*time.Minute, func() bool {
				fewest = min(fewest, r.count(isRoutable))

				return r.count(servesVersion(newVersion)) == len(domains)
			})

			time.Sleep(10 * time.Second)
			t.Logf("rolled out in %s, fewest ready runners %d", took, fewest)

			if fewest < len(domains)-1 {
				t.Errorf("ready runners: got %d at worst, want %d", fewest, len(domains)-1)
			}

			if got := r.count(isRoutable); got != len(domains) {
				t.Errorf("runners after the roll-out: got %d, want %d", got, len(domains))
			}

			r.stopAll(all...)
		})
	}
}

// slowClient blocks its first order after the lease check and before the send.
type slowClient struct {
	controller.Client

	proceed chan struct{}
	blocked chan struct{}
}

// Order sends with a fresh context after the block, like a process that was paused past its timeout.
func (c *slowClient) Order(_ context.Context, o backend.Order) error {
	select {
	case c.blocked <- struct{}{}:
		<-c.proceed
	default:
	}

	return c.Client.Order(context.Background(), o)
}

func TestStaleOrderOfPausedHolderIsRefusedOrCorrected(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(t)
			r.addEngines(checks, time.Second, domains...)

			slow := &slowClient{Client: r.servers["engine-0"].client, proceed: make(chan struct{}), blocked: make(chan struct{}, 1)}
			first := r.start("entry-1", func(c *controller.Controller) {
				c.Servers = withClient{region: r, id: "engine-0", client: slow}
			})
			r.waitFor("blocked order", time.Minute, func() bool { return len(slow.blocked) == 1 })
			first.clock.pause()

			second := r.start("entry-2")
			r.setManifest(oldVersion, newVersion)
			r.waitFor("roll-out by the second candidate", 5*time.Minute, func() bool {
				return r.count(servesVersion(newVersion)) == len(domains)
			})

			close(slow.proceed)
			time.Sleep(time.Second)

			stale := r.count(servesVersion(newVersion)) != len(domains)
			if checks && stale {
				t.Errorf("stale order at an engine that checks: got the order executed, want it refused")
			}

			r.waitFor("convergence", time.Minute, func() bool { return r.count(servesVersion(newVersion)) == len(domains) })
			first.clock.resume()
			time.Sleep(time.Minute)

			if got := r.count(servesVersion(newVersion)); got != len(domains) || first.Status().IsHolder {
				t.Errorf("after the pause: got %d runners, want %d, and the first candidate not the holder", got, len(domains))
			}

			r.stopAll(first, second)
		})
	}
}

// withClient is a region with another client for one server.
type withClient struct {
	*region

	id     fleet.InstanceID
	client controller.Client
}

// All implements controller.Servers.
func (r withClient) All() ([]controller.Server, bool) {
	all, listed := r.region.All()

	for i := range all {
		if all[i].ID == r.id {
			all[i].Client = r.client
		}
	}

	return all, listed
}
