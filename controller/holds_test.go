package controller_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/controller"
	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

// The kinds of injected faults.
const (
	pauseOne = iota
	restartOne
	logDown
	cloudDown
	cloudLosesAnswers
	reclaimDomain
	faultKinds
)

// maxRegions bounds the regions of one run for any number of rapid checks.
const maxRegions = 500

// fault is one fault of a schedule, drawn before the region starts.
type fault struct {
	after    time.Duration
	kind     int
	target   int
	duration time.Duration
}

func drawFaults(t *rapid.T) []fault {
	var faults []fault

	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		faults = append(faults, fault{
			after:    time.Duration(rapid.IntRange(0, 600).Draw(t, "after")) * time.Second,
			kind:     rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			target:   rapid.IntRange(0, len(domains)-1).Draw(t, "target"),
			duration: time.Duration(rapid.IntRange(1, 900).Draw(t, "lasts")) * time.Second,
		})
	}

	return faults
}

// faultRun is a region under a schedule of faults.
type faultRun struct {
	*region

	candidates []*candidate
	violation  string
}

func newFaultRun(t *testing.T) *faultRun {
	t.Helper()

	o := &faultRun{region: newMarket(t)}
	o.cloud.Adopt(provider.Instance{ID: "given", Class: "gpu-large", Domain: domains[0], Market: provider.OnDemand})
	o.startServer(provider.Instance{ID: "given", Class: "gpu-large", Domain: domains[0]}, oldVersion)

	for i := range 3 {
		o.candidates = append(o.candidates, o.start(fleet.InstanceID(fmt.Sprintf("entry-%d", i)), withPurchases(runnerLoad)))
	}

	return o
}

// checkInterval is the time between two checks of the invariants.
const checkInterval = 5 * time.Second

// watch checks the invariants periodically for a duration.
func (o *faultRun) watch(d time.Duration) {
	for range int(d / checkInterval) {
		time.Sleep(checkInterval)
		o.checkInvariants()
	}
}

func (o *faultRun) checkInvariants() {
	if n := len(holders(o.candidates...)); n > 1 {
		o.violate("got %d holders, want at most one", n)
	}

	if n := o.instances(modelService, ""); n > maxRunners {
		o.violate("got %d runners, want at most %d", n, maxRunners)
	}

	if n := o.instances(plainService, ""); n > maxPlain {
		o.violate("got %d plain servers, want at most %d", n, maxPlain)
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	if o.servers["given"] == nil || o.leaving["given"] {
		o.violate("got the given instance released, want it left alone")
	}
}

func (o *faultRun) violate(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("at %s: ", time.Now().Format(time.TimeOnly)) + fmt.Sprintf(format, args...)
	}
}

func (o *faultRun) inject(i int, f fault) {
	which := f.target % len(o.candidates)

	switch f.kind {
	case pauseOne:
		clock := o.candidates[which].clock
		clock.pause()
		o.group.Go(func() { time.Sleep(f.duration); clock.resume() })
	case restartOne:
		o.candidates[which].clock.resume()
		o.candidates[which].stop()
		<-o.candidates[which].done
		o.candidates[which] = o.start(fleet.InstanceID(fmt.Sprintf("entry-%d", which)), withPurchases(runnerLoad),
			func(c *controller.Controller) { c.Incarnation = fleet.Incarnation(i + 2) })
	case logDown:
		_ = o.log.Faults.Apply(standin.FaultOrder{Kind: standin.Down, Duration: standin.Duration(f.duration), Silent: f.target%2 == 0})
	case cloudDown:
		_ = o.cloud.Faults.Apply(standin.FaultOrder{Kind: standin.Down, Duration: standin.Duration(f.duration), Silent: f.target%2 == 0})
	case cloudLosesAnswers:
		_ = o.cloud.Faults.Apply(standin.FaultOrder{Kind: standin.EffectWithoutAnswer, Probability: 0.5, Seed: uint64(i)})
	case reclaimDomain:
		domain := domains[f.target]
		o.stock(domain, 0)
		o.cloud.Reclaim(domain, 30*time.Second)
		o.group.Go(func() { time.Sleep(f.duration); o.stock(domain, 20) })
	}
}

// TestHoldsRegionUnderFaults runs candidates through pauses, restarts, outages of the log and the
// cloud API, lost responses and reclaims. At most one candidate holds the lease at any time, no
// service exceeds its maximum, a foreign instance is not released, and at the end both services have
// their minimum. Each check simulates hours of a region, so a long run ends after maxRegions.
func TestHoldsRegionUnderFaults(t *testing.T) {
	regions := 0

	rapid.Check(t, func(rt *rapid.T) {
		if regions++; regions > maxRegions {
			return
		}

		faults := drawFaults(rt)
		violation := ""

		synctest.Test(t, func(t *testing.T) {
			o := newFaultRun(t)

			for i, f := range faults {
				o.watch(f.after)
				o.inject(i, f)
			}

			o.watch(20 * time.Minute)
			_ = o.cloud.Faults.Apply(standin.FaultOrder{Kind: standin.Clear})
			o.watch(time.Hour)

			if !o.meetsMinimum() {
				o.violate("got %d runners and %d plain servers at the end, want %d and %d",
					o.countServing(modelService), o.countServing(plainService), minRunners, minPlain)
			}

			violation = o.violation
			o.stopAll(o.candidates...)
		})

		if violation != "" {
			rt.Fatalf("%s; faults %+v", violation, faults)
		}
	})
}
