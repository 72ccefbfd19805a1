package controller_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

// The bounds of the services in the example manifest. runnerLoad is the demand of the tests, in
// runners.
const (
	minRunners = 8
	maxRunners = 18
	minPlain   = 4
	maxPlain   = 8
	runnerLoad = 5
)

// meetsMinimum reports whether both services have the minimum number of serving servers of the
// manifest.
func (r *region) meetsMinimum() bool {
	return r.countServing(modelService) >= minRunners && r.countServing(plainService) >= minPlain
}

func TestReclaimedInstancesAreReplacedInOtherFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newMarket(t)
		_ = r.cloud.Faults.Apply(standin.FaultOrder{Kind: standin.EffectWithoutAnswer, Probability: 0.3, Seed: 7})

		all := []*candidate{r.start("entry-1", withPurchases(runnerLoad)), r.start("entry-2", withPurchases(runnerLoad))}
		first := r.waitFor("capacity", 10*time.Minute, r.meetsMinimum)
		time.Sleep(10 * time.Minute)

		before := r.instances(modelService, "")
		if before != minRunners {
			t.Errorf("runners bought: got %d, want %d", before, minRunners)
		}

		reclaimed := fullest(r)
		lost := r.instances(modelService, reclaimed)
		r.stock(reclaimed, 0)
		r.cloud.Reclaim(reclaimed, 30*time.Second)

		replaced := r.waitFor("replacement", 10*time.Minute, func() bool {
			return r.meetsMinimum() && r.instances(modelService, "")-r.instances(modelService, reclaimed) >= before
		})
		time.Sleep(time.Hour)

		got := r.instances(modelService, "")
		t.Logf("bought %d runners in %s; lost %d in %s, replaced in %s; %d after an hour", before, first, lost, reclaimed, replaced, got)

		if got > before+1 || lost == 0 {
			t.Errorf("runners after an hour: got %d, want at most one more than %d; %d lost", got, before, lost)
		}

		r.stopAll(all...)
	})
}

// fullest returns the failure domain with the most runners.
func fullest(r *region) fleet.FailureDomain {
	most := domains[0]
	for _, domain := range domains {
		if r.instances(modelService, domain) > r.instances(modelService, most) {
			most = domain
		}
	}

	return most
}

func TestRefusedPurchasesAreRetriedAtBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newMarket(t)
		for _, domain := range domains {
			r.stock(domain, 0)
		}

		c := r.start("entry-1", withPurchases(runnerLoad))
		time.Sleep(10 * time.Minute)

		if lines := strings.Join(c.Status().Decisions, "\n"); !strings.Contains(lines, "refused") {
			t.Errorf("decisions while refused: got %q, want the refusals", lines)
		}

		refused := c.Metrics.GetOrCreateCounter(`monsoonlever_control_purchases_total{outcome="refused"}`).Get()
		t.Logf("in ten minutes of refusals: %d refused, %d appends", refused, r.log.Appends())

		if most := uint64(200); refused > most {
			t.Errorf("refused purchases: got %d, want at most %d", refused, most)
		}

		time.Sleep(20 * time.Minute)

		for _, domain := range domains {
			r.stock(domain, 20)
		}

		took := r.waitFor("capacity", time.Hour, r.meetsMinimum)
		t.Logf("bought %s after the refusals ended", took)
		r.stopAll(c)
	})
}

func TestForeignInstancesAreNotReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newMarket(t)

		for i := range minRunners + minPlain {
			instance := provider.Instance{
				ID: fleet.InstanceID("given-" + string(rune('a'+i))), Class: "gpu-large",
				Domain: domains[i%len(domains)], Market: provider.OnDemand,
			}
			if i >= minRunners {
				instance.Class = "cpu-medium"
			}

			r.cloud.Adopt(instance)
			r.startServer(instance, oldVersion)
		}

		c := r.start("entry-1", withPurchases(1))
		time.Sleep(90 * time.Minute)

		if got, want := r.instances(modelService, "")+r.instances(plainService, ""), minRunners+minPlain; got != want {
			t.Errorf("instances: got %d, want the %d given ones", got, want)
		}

		r.stopAll(c)
	})
}

func TestObserveModeBuysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newMarket(t)
		c := r.start("entry-1")
		time.Sleep(time.Hour)

		if got := r.instances(modelService, "") + r.instances(plainService, ""); got != 0 {
			t.Errorf("instances: got %d, want none", got)
		}

		if lines := c.Status().Decisions; len(lines) != 2 || !strings.Contains(lines[0], "grows by") {
			t.Errorf("decisions: got %q, want one line per service", lines)
		}

		r.stopAll(c)
	})
}

func TestLogOutageStopsPurchasesAndReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newMarket(t)
		all := []*candidate{r.start("entry-1", withPurchases(runnerLoad)), r.start("entry-2", withPurchases(runnerLoad))}
		r.waitFor("capacity", 10*time.Minute, r.meetsMinimum)
		time.Sleep(10 * time.Minute)

		before := r.instances(modelService, "")
		_ = r.log.Faults.Apply(standin.FaultOrder{Kind: standin.Down, Duration: standin.Duration(time.Hour), Silent: true})
		time.Sleep(10 * time.Second)
		r.cloud.Reclaim(fullest(r), 30*time.Second)
		time.Sleep(time.Minute)

		kept := r.instances(modelService, "")
		time.Sleep(50 * time.Minute)

		if got := r.instances(modelService, ""); got != kept {
			t.Errorf("runners in the outage: got %d, want %d", got, kept)
		}

		took := r.waitFor("replacement", 20*time.Minute, func() bool { return r.instances(modelService, "") >= before && r.meetsMinimum() })
		t.Logf("replaced %d runners %s after the check nine minutes before the end of the outage", before-kept, took)
		r.stopAll(all...)
	})
}
