package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/refusal"
	"monsoonlever/standin"
)

// keyed is what a caller of one key was told, without repetitions.
type keyed struct {
	key  string
	told []refusal.RunState
	// broken counts connections that broke off without an answer.
	broken int
	// bodies are the answers of attempts that were told that the call ran.
	bodies []string
}

// submit makes one call that may not be repeated, and notes what its caller is
// told. A connection that breaks off tells nothing.
func (d *deployment) submit(e *entry, k *keyed) refusal.RunState {
	response, body, err := d.call(d.ctx, e, http.MethodPost, "/bank-files", k.key, "file "+k.key)
	if refused(err) {
		return refusal.NotStarted
	}

	if err != nil {
		k.broken++

		return refusal.Unknown
	}

	if response.StatusCode == http.StatusOK {
		k.told = append(k.told, refusal.Ran)
		k.bodies = append(k.bodies, string(body))

		return refusal.Ran
	}

	var told refusal.Body
	if err := json.Unmarshal(body, &told); err != nil {
		d.t.Errorf("%s: got %d %s, want a refusal", k.key, response.StatusCode, body)

		return refusal.Unknown
	}

	run := told.Error.Run
	if last := len(k.told) - 1; last < 0 || k.told[last] != run {
		k.told = append(k.told, run)
	}

	return run
}

// ran counts the executions of a key at all plain servers.
func (d *deployment) ran(key string) int {
	total := 0
	for _, p := range d.plains {
		total += p.Executions().Of(key)
	}

	return total
}

// checkKeyed compares what callers were told with what ran.
func (d *deployment) checkKeyed(calls []*keyed) {
	d.t.Helper()

	for _, k := range calls {
		got := d.ran(k.key)
		if got > 1 {
			d.t.Errorf("%s: got %d executions, want at most 1", k.key, got)
		}

		if slices.Contains(k.told, refusal.Ran) && got != 1 {
			d.t.Errorf("%s: got %d executions, want 1, since a caller was told that it ran", k.key, got)
		}

		if len(slices.Compact(slices.Sorted(slices.Values(k.bodies)))) > 1 {
			d.t.Errorf("%s: got answers %q, want the same each time", k.key, k.bodies)
		}

		if last := len(k.told) - 1; last >= 0 && k.told[last] == refusal.NotRun && got != 0 {
			d.t.Errorf("%s: got %d executions, want 0, since its caller was told last that it did not run", k.key, got)
		}
	}
}

// submitAll makes calls with n keys, each through two entry instances at once.
func (d *deployment) submitAll(prefix string, n int) []*keyed {
	var (
		group conc.WaitGroup
		calls []*keyed
	)

	for i := range n {
		for j := range 2 {
			k := &keyed{key: fmt.Sprintf("%s-%d", prefix, i)}
			calls = append(calls, k)
			group.Go(func() { d.submit(d.entries[(i+j)%len(d.entries)], k) })
		}
	}

	group.Wait()

	return calls
}

// settle repeats each call with its key until its caller is told the outcome.
func (d *deployment) settle(calls []*keyed) {
	d.t.Helper()

	for i, k := range calls {
		d.eventually(k.key+" has an outcome", func() bool {
			return d.submit(d.entries[i%len(d.entries)], k) == refusal.Ran
		})
	}
}

func tally(calls []*keyed) map[refusal.RunState]int {
	count := make(map[refusal.RunState]int)

	for _, k := range calls {
		for _, run := range k.told {
			count[run]++
		}
	}

	return count
}

func TestKeyedCallsThroughAFailingLog(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 3)

	for _, order := range []standin.FaultOrder{
		{Kind: standin.EffectWithoutAnswer, Probability: 0.4, Seed: 1},
		{Kind: standin.Slow, Delay: standin.Duration(300 * time.Millisecond)},
		{Kind: standin.Down, Duration: standin.Duration(time.Second)},
		{Kind: standin.Down, Duration: standin.Duration(time.Second), Silent: true},
		{Kind: standin.Freeze, Duration: standin.Duration(time.Second)},
	} {
		begun := time.Now()

		d.fault(d.platform.Log.Faults, order)
		calls := d.submitAll(fmt.Sprint(order.Kind, order.Silent), 8)
		took := time.Since(begun)
		told := tally(calls)

		d.checkKeyed(calls)
		d.fault(d.platform.Log.Faults, standin.FaultOrder{Kind: standin.Clear})
		d.settle(calls)
		d.checkKeyed(calls)
		t.Logf("log %s (silent %v): told %v after %v, all settled after %v",
			order.Kind, order.Silent, told, took.Round(time.Millisecond), time.Since(begun).Round(time.Millisecond))
	}
}

func TestLogDownInTheMiddleOfClaims(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 3)
	before := d.platform.Log.Appends()

	var (
		group conc.WaitGroup
		calls []*keyed
	)

	for _, p := range d.plains {
		d.fault(p.Faults, standin.FaultOrder{Kind: standin.Slow, Delay: standin.Duration(500 * time.Millisecond)})
	}

	group.Go(func() { calls = d.submitAll("middle", 8) })
	d.eventually("claims are on the log", func() bool {
		_, _, _ = d.call(d.ctx, d.entries[0], http.MethodGet, "/models", "", "")

		return d.platform.Log.Appends() > before
	})
	d.fault(d.platform.Log.Faults, standin.FaultOrder{Kind: standin.Down, Duration: standin.Duration(2 * time.Second)})
	group.Wait()
	t.Logf("told %v", tally(calls))
	d.checkKeyed(calls)

	d.fault(d.platform.Log.Faults, standin.FaultOrder{Kind: standin.Clear})
	d.settle(calls)
	d.checkKeyed(calls)
}

func TestLostAnswerOfAServiceIsNeverRunAgain(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 3)

	for _, p := range d.plains {
		d.fault(p.Faults, standin.FaultOrder{Kind: standin.LoseAnswer, Count: 1})
	}

	k := &keyed{key: "lost"}

	for i, e := range d.entries {
		if got, want := d.submit(e, k), refusal.Unknown; got != want {
			t.Errorf("attempt %d: got %s, want %s", i, got, want)
		}
	}

	if got, want := d.ran(k.key), 1; got != want {
		t.Errorf("executions: got %d, want %d", got, want)
	}
}

func TestEntryInstanceKilledBetweenClaimAndOutcome(t *testing.T) {
	const bound = 20 * time.Second

	t.Parallel()

	d := newDeployment(t, 3)

	for _, p := range d.plains {
		d.fault(p.Faults, standin.FaultOrder{Kind: standin.Freeze})
	}

	var group conc.WaitGroup

	k := &keyed{key: "orphan"}

	group.Go(func() { d.submit(d.entries[0], &keyed{key: k.key}) })
	d.eventually("the call was sent to a backend server", func() bool {
		_, _, _ = d.call(d.ctx, d.entries[1], http.MethodGet, "/models", "", "")

		return d.inFlight(d.entries[0]) > 0
	})
	d.entries[0].kill()
	group.Wait()

	killed := time.Now()

	for i, e := range d.entries[1:] {
		if got, want := d.submit(e, k), refusal.Unknown; got != want {
			t.Errorf("duplicate %d: got %s, want %s", i, got, want)
		}

		t.Logf("duplicate %d was told %v after %v", i, k.told, time.Since(killed).Round(time.Millisecond))
	}

	if took := time.Since(killed); took > bound {
		t.Errorf("duplicates: got their answers after %v, want at most %v", took, bound)
	}

	for _, p := range d.plains {
		d.fault(p.Faults, standin.FaultOrder{Kind: standin.Clear})
	}

	d.submit(d.entries[1], k)

	if got := d.ran(k.key); got > 1 {
		t.Errorf("executions: got %d, want at most 1", got)
	}
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	const (
		instances = 3
		workers   = 4
	)

	t.Parallel()

	d := newPlatform(t, 10*time.Millisecond)
	d.writeSettings(2 * instances)

	for _, p := range d.plains {
		d.fault(p.Faults, standin.FaultOrder{Kind: standin.Slow, Delay: standin.Duration(300 * time.Millisecond)})
	}

	all := d.settings
	d.settings = all[:instances]
	d.startAll()

	balancer := newBalancer(d.entries)
	load := newLoad(d, balancer, workers)

	for i := range instances {
		begun := time.Now()
		d.settings = all
		next := d.start(instances + i)
		d.waitReady(next)
		balancer.replace(i, next)
		d.entries[i].stop()

		if err := <-d.entries[i].done; err != nil {
			t.Errorf("stop of %s: got %v, want none", d.entries[i].id, err)
		}

		t.Logf("%s replaced %s in %v", next.id, d.entries[i].id, time.Since(begun).Round(time.Millisecond))
	}

	load.finish()
}
