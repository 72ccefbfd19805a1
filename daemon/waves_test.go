package daemon

import (
	"net/http"
	"testing"
	"time"

	"monsoonlever/routing"
	"monsoonlever/standin"
)

// work adds up what all engines did.
func (d *deployment) work() standin.UsageTotals {
	var total standin.UsageTotals

	for _, e := range d.engines {
		u := e.Usage()
		total.Attempts += u.Attempts
		total.Prefilled += u.Prefilled
		total.Cached += u.Cached
		total.Decoded += u.Decoded
		total.RedonePrefill += u.RedonePrefill
		total.RedoneDecode += u.RedoneDecode
	}

	return total
}

// waitLeaving waits until an entry instance knows that a server leaves, and has
// moved requests away from it.
func (d *deployment) waitLeaving(e *entry, server routing.Status) {
	d.t.Helper()

	d.eventually(string(server.ID())+" leaves and answers move", func() bool {
		_, _, _ = d.call(d.ctx, e, http.MethodGet, "/approvals/7/status", "", "")

		for _, s := range e.parts.table.Statuses() {
			if s.ID() == server.ID() {
				return s.Leaving() && s.InFlight() < server.InFlight()
			}
		}

		return true
	})
}

// busiest returns the server of a failure domain with the most requests of an
// entry instance.
func (e *entry) busiest(i int) routing.Status {
	var busiest routing.Status

	for _, s := range e.parts.table.Statuses() {
		if s.Domain() == testDomains[i] && s.Key().Model() != "" && s.InFlight() >= busiest.InFlight() {
			busiest = s
		}
	}

	return busiest
}

func TestWavesOfReclaimsLoseNoAnswer(t *testing.T) {
	const (
		answers = 24
		notice  = 1500 * time.Millisecond
	)

	t.Parallel()

	d := newSlowDeployment(t, 3, 20*time.Millisecond)
	running := d.run(answers, d.entries, d.entries)
	first := d.entries[0].busiest(0)

	d.platform.Cloud.Reclaim(testDomains[0], notice)
	d.waitLeaving(d.entries[0], first)
	d.platform.Cloud.Reclaim(testDomains[1], notice)
	d.platform.Cloud.Wait()
	running.check()

	got := d.work()
	t.Logf("%d answers took %d attempts; %d tokens decoded, %d again; %d prefilled, %d again; %d spared by caches",
		answers, got.Attempts, got.Decoded, got.RedoneDecode, got.Prefilled, got.RedonePrefill, got.Cached)

	if got.Attempts <= answers {
		t.Errorf("attempts: got %d, want more than %d, since answers moved", got.Attempts, answers)
	}

	// Engines that never saw an answer have its tokens in an imported cache only.
	if got.Cached <= got.RedonePrefill {
		t.Errorf("tokens spared by caches: got %d, want more than the %d prefilled again", got.Cached, got.RedonePrefill)
	}

	if want := answers * longAnswer / 10; got.Redone() > want {
		t.Errorf("tokens computed again: got %d, want at most %d", got.Redone(), want)
	}
}

func TestFaultyEnginesLoseNoAnswer(t *testing.T) {
	const answers = 24

	t.Parallel()

	d := newSlowDeployment(t, 3, 10*time.Millisecond)

	for i, kind := range []standin.FaultKind{
		standin.KillStream, standin.TruncateStream, standin.RepeatTokens, standin.CrossTokens, standin.GarbleStream,
	} {
		d.fault(d.engines[i].Faults, standin.FaultOrder{Kind: kind, Count: 3, AfterTokens: 20})
	}

	running := d.run(answers, d.entries, d.entries)

	d.fault(d.engines[6].Faults, standin.FaultOrder{Kind: standin.Freeze})
	d.fault(d.engines[7].Faults, standin.FaultOrder{Kind: standin.Kill})
	running.check()

	got := d.work()
	t.Logf("%d answers took %d attempts; %d tokens decoded, %d again; %d prefilled, %d again",
		answers, got.Attempts, got.Decoded, got.RedoneDecode, got.Prefilled, got.RedonePrefill)

	if got.Attempts <= answers {
		t.Errorf("attempts: got %d, want more than %d, since streams broke", got.Attempts, answers)
	}
}

func (d *deployment) fault(f *standin.Faults, o standin.FaultOrder) {
	d.t.Helper()

	if err := f.Apply(o); err != nil {
		d.t.Fatal(err)
	}
}
