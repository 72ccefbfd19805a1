package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sync/semaphore"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/keys"
	"monsoonlever/provider"
	"monsoonlever/publication"
	"monsoonlever/settings"
	"monsoonlever/standin"
)

const (
	testModel   = "ledger-large"
	testVersion = "2026.11"
	testAccount = "demo-key-nordhavn-engros"
	// testPatience bounds every wait of a test; none of them sleeps.
	testPatience = time.Minute
	// deploymentsAtOnce bounds the deployments of all tests that run together.
	deploymentsAtOnce = 4
)

// running holds the deployments that run. Tests of times fail if each gets too small a part of the
// processor.
var running = semaphore.NewWeighted(deploymentsAtOnce)

var testDomains = []fleet.FailureDomain{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"}

// deployment is the example deployment of Kronvig with its daemons and stand-ins
// in one process, over loopback.
type deployment struct {
	t             *testing.T
	ctx           context.Context
	group         conc.WaitGroup
	platform      *standin.Platform
	tokenInterval time.Duration
	engines       []*standin.Engine
	plains        []*standin.PlainService
	entries       []*entry
	settings      []settings.Daemon
}

// newDeployment starts the stand-ins and some entry instances, publishes the
// manifest, and waits until every entry instance is ready.
func newDeployment(t *testing.T, entries int) *deployment {
	t.Helper()

	return newSlowDeployment(t, entries, time.Millisecond)
}

// newSlowDeployment is newDeployment with engines that take long enough for
// something to fail while they answer.
func newSlowDeployment(t *testing.T, entries int, tokenInterval time.Duration) *deployment {
	t.Helper()

	d := newPlatform(t, tokenInterval)
	d.writeSettings(entries)
	d.startAll()

	return d
}

// newLoneDeployment has one entry instance without keys.
func newLoneDeployment(t *testing.T) *deployment {
	t.Helper()

	d := newPlatform(t, time.Millisecond)
	d.writeSettings(1)
	d.settings[0].TLS = nil
	d.startAll()

	return d
}

// newPlatform starts the stand-ins.
func newPlatform(t *testing.T, tokenInterval time.Duration) *deployment {
	t.Helper()

	if err := running.Acquire(t.Context(), 1); err != nil {
		t.Fatalf("start: got %v, want none", err)
	}

	t.Cleanup(func() { running.Release(1) })

	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	d := &deployment{
		t: t, ctx: ctx, platform: standin.NewPlatform(clock.System{}), tokenInterval: tokenInterval,
	}

	t.Cleanup(func() {
		for _, e := range d.entries {
			e.stop()
		}

		cancel()
		d.group.Wait()
	})

	d.startServers()

	return d
}

// startAll starts the entry instances, publishes the manifest, and waits until
// every instance is ready.
func (d *deployment) startAll() {
	d.t.Helper()

	for i := range d.settings {
		d.start(i)
	}

	d.publish()

	for _, e := range d.entries {
		d.waitReady(e)
	}
}

// caller keeps no connections: a stopping instance closes idle ones, and a call
// on such a connection would tell nothing of the instance.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// serve serves a stand-in until the test ends and returns its address.
func (d *deployment) serve(h http.Handler, f *standin.Faults) string {
	l := d.listen()
	server := standin.NewServer(l, h, f)
	d.group.Go(func() { _ = server.Run(d.ctx) })

	return server.Address()
}

func (d *deployment) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}

	return l
}

// startServers starts two engines and one plain server in each failure domain.
func (d *deployment) startServers() {
	ledger := standin.NewWorkLedger()

	for i, domain := range append(testDomains, testDomains...) {
		engine := standin.NewEngine(clock.System{})
		engine.Model = testModel
		engine.Version = testVersion
		engine.Ledger = ledger
		engine.TokenInterval = d.tokenInterval
		d.engines = append(d.engines, engine)
		d.register(fmt.Sprintf("engine-%d", i), "ledger-llm", domain, d.serve(engine.Handler(), engine.Faults))
	}

	for i, domain := range testDomains {
		plain := standin.NewPlainService(clock.System{})
		d.plains = append(d.plains, plain)
		d.register(fmt.Sprintf("plain-%d", i), "payrun-api", domain, d.serve(plain.Handler(), plain.Faults))
	}
}

func (d *deployment) register(id string, service fleet.Service, domain fleet.FailureDomain, address string) {
	d.platform.Register(standin.Registration{Listing: provider.Listing{
		ID: fleet.InstanceID(id), Service: service, Address: address, Domain: domain, State: provider.Live,
	}, Market: provider.Reclaimable})
}

func (d *deployment) writeSettings(entries int) {
	dir := d.t.TempDir()

	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}

	if err := keys.WriteDeployment(dir, names, time.Now()); err != nil {
		d.t.Fatal(err)
	}

	for i, name := range names {
		d.settings = append(d.settings, settings.Daemon{
			Deployment:    "kronvig",
			Instance:      fleet.InstanceID(name),
			Region:        "dk-east",
			FailureDomain: testDomains[i%len(testDomains)],
			TLS: &settings.TLS{
				CertFile: filepath.Join(dir, name+".pem"),
				KeyFile:  filepath.Join(dir, name+".key"),
				CAFile:   filepath.Join(dir, "ca.pem"),
			},
			Limits: settings.Limits{
				MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second, MaxConnections: 256,
			},
			DrainTimeout:     testPatience,
			AppendsPerSecond: 50,
		})
	}
}

func (d *deployment) publish() provider.Offset {
	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		d.t.Fatal(err)
	}

	p := &publication.Publisher{
		Log: d.platform.Log, Stream: publication.StreamOf("kronvig"), Clock: clock.System{},
		Random: rand.New(rand.NewPCG(1, 1)),
	}

	receipt, err := p.Publish(d.ctx, publication.Request{File: "kronvig", Data: data, Operator: "test"})
	if err != nil {
		d.t.Fatal(err)
	}

	return receipt.Version()
}

func (d *deployment) waitReady(e *entry) {
	d.t.Helper()

	d.eventually("instance is ready", func() bool {
		r, err := caller.Get("http://" + e.addresses.Operators + PathReady)
		if err != nil {
			return false
		}
		defer r.Body.Close()

		return r.StatusCode == http.StatusNoContent
	})
}

// eventually looks until a condition holds. Every look does some I/O, so that
// the loop does not spin.
func (d *deployment) eventually(what string, holds func() bool) {
	d.t.Helper()

	for !holds() {
		if d.ctx.Err() != nil {
			d.t.Fatalf("got no end of waiting, want: %s", what)
		}
	}
}

func (d *deployment) executions() int {
	total := 0
	for _, p := range d.plains {
		total += p.Executions().Total
	}

	return total
}
