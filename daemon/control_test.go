package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/keys"
	"monsoonlever/provider"
	"monsoonlever/publication"
	"monsoonlever/refusal"
	"monsoonlever/settings"
	"monsoonlever/standin"
)

// publishWithin is the time in which a manifest is in force everywhere.
const publishWithin = 5 * time.Second

// publishWeight publishes the example with another weight of its first account.
func (d *deployment) publishWeight(base provider.Offset, weight int, seed uint64) (publication.Receipt, error) {
	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		return publication.Receipt{}, err
	}

	data = bytes.Replace(data, []byte(`"weight": 40`), fmt.Appendf(nil, `"weight": %d`, weight), 1)
	p := &publication.Publisher{
		Log: d.platform.Log, Stream: publication.StreamOf("kronvig"), Clock: clock.System{},
		Random: rand.New(rand.NewPCG(seed, seed)),
	}

	return p.Publish(d.ctx, publication.Request{Base: base, File: "kronvig", Data: data, Operator: fmt.Sprint("operator ", seed)})
}

// look asks an instance for something, so that waiting for it does some I/O.
func (d *deployment) look(e *entry) {
	response, err := caller.Get("http://" + e.addresses.Operators + PathHealth)
	if err == nil {
		_ = response.Body.Close()
	}
}

// waitInForce waits until every instance has a version in force and returns how
// long that took.
func (d *deployment) waitInForce(entries []*entry, version provider.Offset) time.Duration {
	d.t.Helper()

	begun := time.Now()

	for _, e := range entries {
		d.eventually(fmt.Sprintf("%s has version %d in force", e.id, version), func() bool {
			d.look(e)

			return e.parts.follower.Version() >= version
		})

		if got := e.parts.follower.Version(); got != version {
			d.t.Errorf("%s: got version %d, want %d", e.id, got, version)
		}
	}

	return time.Since(begun)
}

func TestPublishRaceHasOneWinnerEverywhere(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 4)
	base := d.entries[0].parts.follower.Version()

	var slowest time.Duration

	for round := range 5 {
		var (
			group    conc.WaitGroup
			receipts [2]publication.Receipt
			errs     [2]error
		)

		for i := range receipts {
			group.Go(func() { receipts[i], errs[i] = d.publishWeight(base, 10+2*round+i, uint64(i)) })
		}

		group.Wait()

		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}

		var conflict *publication.Conflict
		if errs[winner] != nil || !errors.As(errs[loser], &conflict) {
			t.Fatalf("round %d: got %v and %v, want one publication and one conflict", round, errs[winner], errs[loser])
		}

		if got, want := conflict.Version(), receipts[winner].Version(); got != want {
			t.Errorf("round %d: conflict with %d, want %d", round, got, want)
		}

		base = receipts[winner].Version()
		slowest = max(slowest, d.waitInForce(d.entries, base))
	}

	t.Logf("in force on %d instances within %v of the publication", len(d.entries), slowest.Round(time.Millisecond))

	if slowest > publishWithin {
		t.Errorf("in force everywhere after %v, want at most %v", slowest, publishWithin)
	}
}

func TestInstanceStartsWhileTheLogIsDown(t *testing.T) {
	t.Parallel()

	d := newPlatform(t, time.Millisecond)
	d.writeSettings(3)

	all := d.settings
	d.settings = all[:2]
	d.startAll()

	d.fault(d.platform.Log.Faults, standin.FaultOrder{Kind: standin.Down})

	d.settings = all
	begun := time.Now()
	late := d.start(2)
	d.waitReady(late)
	t.Logf("ready %v after its start", time.Since(begun).Round(time.Millisecond))

	if got, want := late.parts.follower.Version(), d.entries[0].parts.follower.Version(); got != want {
		t.Errorf("version: got %d, want that of the others, %d", got, want)
	}

	got := d.askAdmitted(late, "in the outage", 40, nil)
	if want := wantAnswer("in the outage", 40); !got.whole || got.text != want {
		t.Errorf("answer: got whole %v, status %d, %q, want %q", got.whole, got.status, got.text, want)
	}

	if got, want := d.submit(late, &keyed{key: "outage"}), refusal.NotStarted; got != want {
		t.Errorf("call with a key: got %s, want %s", got, want)
	}

	d.fault(d.platform.Log.Faults, standin.FaultOrder{Kind: standin.Clear})
	d.settle([]*keyed{{key: "outage"}})

	if got, want := d.ran("outage"), 1; got != want {
		t.Errorf("executions: got %d, want %d", got, want)
	}
}

func TestNewsOfALeavingServerSpreadsByPeers(t *testing.T) {
	const within = 5 * time.Second

	t.Parallel()

	d := newPlatform(t, time.Millisecond)
	// The servers themselves say nothing of it.
	d.platform.Cloud.OnNotice = nil
	d.writeSettings(4)
	d.startAll()

	for _, e := range d.entries[1:] {
		d.fault(e.platform, standin.FaultOrder{Kind: standin.Kill})
	}

	begun := time.Now()

	d.platform.Cloud.Reclaim(testDomains[2], time.Second)

	for _, e := range d.entries {
		d.eventually(fmt.Sprint(e.id, " routes away from what leaves"), func() bool {
			d.look(e)

			return e.avoids(testDomains[2])
		})
	}

	took := time.Since(begun)
	t.Logf("known to all %d instances %v after the notice, of whom one could reach the platform", len(d.entries), took.Round(time.Millisecond))

	if took > within {
		t.Errorf("known to all after %v, want at most %v", took, within)
	}

	d.platform.Cloud.Wait()
}

func TestInstanceWithAWrongKeyIsRefused(t *testing.T) {
	t.Parallel()

	d := newDeployment(t, 2)
	dir := t.TempDir()

	if err := keys.WriteDeployment(dir, []string{"entry-9"}, time.Now()); err != nil {
		t.Fatal(err)
	}

	s := d.settings[0]
	s.Instance = "entry-9"
	s.TLS = &settings.TLS{
		CertFile: filepath.Join(dir, "entry-9.pem"), KeyFile: filepath.Join(dir, "entry-9.key"), CAFile: filepath.Join(dir, "ca.pem"),
	}

	before := refusedPeers()

	wrong, err := d.tryStart(s)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { <-wrong.done }()
	defer wrong.stop()

	d.eventually("a peer refuses the instance", func() bool {
		d.look(wrong)

		return refusedPeers() > before
	})

	for _, e := range d.entries {
		if m := e.parts.peers.group.View().Member("entry-9"); m != nil {
			t.Errorf("%s: got member %s, want none", e.id, m.ID())
		}
	}

	if got, want := len(wrong.parts.peers.group.View().Live()), 1; got != want {
		t.Errorf("members that the instance sees: got %d, want %d, itself", got, want)
	}
}

// refusedPeers counts the peers that were refused in this process.
func refusedPeers() uint64 {
	total := uint64(0)

	for _, name := range metrics.ListMetricNames() {
		if len(name) > len(refusedPeersPrefix) && name[:len(refusedPeersPrefix)] == refusedPeersPrefix {
			total += metrics.GetOrCreateCounter(name).Get()
		}
	}

	return total
}

const refusedPeersPrefix = "monsoonlever_peer_refused_total{"

func TestDaemonIsNotBuiltFromBadSettings(t *testing.T) {
	d := newPlatform(t, time.Millisecond)
	d.writeSettings(1)

	dir := t.TempDir()
	if err := keys.WriteDeployment(dir, []string{"other"}, time.Now()); err != nil {
		t.Fatal(err)
	}

	right := *d.settings[0].TLS
	tests := []struct {
		desc string
		tls  settings.TLS
	}{
		{desc: "no such file", tls: settings.TLS{CertFile: right.CertFile, KeyFile: filepath.Join(dir, "none.key"), CAFile: right.CAFile}},
		{desc: "key of another", tls: settings.TLS{CertFile: right.CertFile, KeyFile: filepath.Join(dir, "other.key"), CAFile: right.CAFile}},
		{desc: "CA that is none", tls: settings.TLS{CertFile: right.CertFile, KeyFile: right.KeyFile, CAFile: right.KeyFile}},
		{desc: "certificate of another", tls: settings.TLS{
			CertFile: filepath.Join(dir, "other.pem"), KeyFile: filepath.Join(dir, "other.key"), CAFile: right.CAFile,
		}},
		{desc: "certificate of another CA", tls: settings.TLS{
			CertFile: right.CertFile, KeyFile: right.KeyFile, CAFile: filepath.Join(dir, "ca.pem"),
		}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := d.settings[0]
			s.TLS = &tt.tls

			e, err := d.tryStart(s)
			if err == nil {
				e.stop()
				<-e.done
				t.Error("got a daemon, want an error")
			}

			t.Log(err)
		})
	}
}
