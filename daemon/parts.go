package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/burn"
	"monsoonlever/claim"
	"monsoonlever/clock"
	"monsoonlever/discovery"
	"monsoonlever/dispatch"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/journal"
	"monsoonlever/listener"
	"monsoonlever/manifest"
	"monsoonlever/platform"
	"monsoonlever/publication"
	"monsoonlever/refusal"
	"monsoonlever/routing"
	"monsoonlever/settings"
)

const (
	// writeTimeout bounds one write to a caller; a slower caller is cut.
	writeTimeout = 30 * time.Second
	// idleTimeout closes connections of callers that send nothing.
	idleTimeout = 2 * time.Minute
	// cancelTimeout bounds a call that cancels an attempt.
	cancelTimeout = 2 * time.Second
	// idleServerConnections is kept open to each backend server.
	idleServerConnections = 64
	// dialTimeout bounds a connection to a backend server or the platform.
	dialTimeout = time.Second
)

// parts are what a daemon is made of.
type parts struct {
	settings    settings.Daemon
	clock       clock.Clock
	incarnation fleet.Incarnation
	metrics     *metrics.Set
	follower    *publication.Follower
	journal     *journal.Client
	keeper      *claim.Keeper
	claims      *claims
	table       *routing.Table
	leaving     *answer.Leaving
	directory   *discovery.Directory
	watcher     *discovery.Watcher
	admission   *admission.Controller
	recorder    *burn.Recorder
	runner      *answer.Runner
	gateway     *gateway.Gateway
}

func (d *Daemon) build(l *Listeners) (*parts, error) {
	p := &parts{
		settings:    d.Settings,
		clock:       d.Clock,
		incarnation: fleet.Incarnation(d.Clock.Now().UnixNano()),
		metrics:     metrics.NewSet(),
		leaving:     &answer.Leaving{},
	}

	p.buildControl()
	p.buildServers()
	p.buildRequests()

	return p, nil
}

// buildControl makes what follows the platform's log.
func (p *parts) buildControl() {
	client := newClient()
	log := platform.NewHTTPLog(p.settings.Platform.Log, client)

	p.follower = &publication.Follower{
		Log: log, Stream: publication.StreamOf(p.settings.Deployment), Clock: p.clock,
		Random: newRandom(), OnChange: p.configure,
	}
	p.journal = &journal.Client{
		Log: log, Clock: p.clock, Stream: stream(p.settings.Deployment, "claims"),
		Writer: p.settings.Instance, Incarnation: p.incarnation,
		AppendsPerSecond: p.settings.AppendsPerSecond, Rand: newRandom(),
	}
	p.keeper = &claim.Keeper{
		Journal: p.journal, Clock: p.clock, KeepHeader: dispatch.KeptHeaders,
		Config: claim.Config{Self: p.settings.Instance, Incarnation: p.incarnation},
	}
	p.claims = newClaims(p.keeper, p.journal)
	p.journal.Subscribers = []journal.Subscriber{p.keeper}
	p.recorder = &burn.Recorder{Instance: p.settings.Instance}
	p.admission = &admission.Controller{Instance: p.settings.Instance, Clock: p.clock, Metrics: p.metrics}
}

// buildServers makes what watches the backend servers.
func (p *parts) buildServers() {
	client := newClient()
	p.table = &routing.Table{Domain: p.settings.FailureDomain, Metrics: p.metrics}
	p.directory = discovery.NewDirectory(clients{http: newClient()})
	p.watcher = &discovery.Watcher{
		Clock: p.clock, Directory: p.directory, Table: p.table, Leaving: p.leaving,
		List:    platform.NewHTTPList(p.settings.Platform.List, client),
		Cloud:   platform.NewHTTPCloud(p.settings.Platform.Cloud, client),
		InForce: func() bool { return p.manifest() != nil },
		IsModel: func(service fleet.Service) (bool, bool) {
			return isModel(p.manifest(), service)
		},
		Metrics: p.metrics,
	}
}

// buildRequests makes the path of a request.
func (p *parts) buildRequests() {
	p.runner = &answer.Runner{
		Clock:         p.clock,
		Picker:        &dispatch.Picker{Clock: p.clock, Manifest: p.manifest, Table: p.table},
		Engines:       p.directory,
		Budget:        unlimited{},
		Limits:        answer.DefaultLimits(),
		Leaving:       p.leaving,
		CancelTimeout: cancelTimeout,
	}
	p.gateway = &gateway.Gateway{
		Clock:     p.clock,
		Manifest:  p.manifest,
		Admission: p.admission,
		Models:    &dispatch.Models{Runner: p.runner},
		Plain: &dispatch.Plain{
			Clock: p.clock, Table: p.table, Directory: p.directory, Claims: p.claims, Budget: unlimited{},
		},
		Observer:     &observer{clock: p.clock, recorder: p.recorder},
		IDs:          newRequestID,
		MaxBodyBytes: p.settings.Limits.MaxBodyBytes,
		WriteTimeout: writeTimeout,
		Metrics:      p.metrics,
	}
}

// manifest returns the manifest in force, or nil.
func (p *parts) manifest() *manifest.Manifest {
	s := p.follower.Snapshot()
	if s == nil {
		return nil
	}

	return s.Manifest()
}

// run runs control until ctx ends.
func (p *parts) run(ctx context.Context) {
	var group conc.WaitGroup

	group.Go(func() { p.follower.Run(ctx) })
	group.Go(func() { p.claims.run(ctx) })
	group.Go(func() { p.watcher.Run(ctx) })
	group.Go(func() { _ = p.admission.Run(ctx) })
	group.Wait()
}

// leave tells the others that this instance stops.
func (p *parts) leave(context.Context) {}

func (p *parts) callersServer() *http.Server {
	return &http.Server{
		Handler:           p.gateway.Handler(),
		ReadHeaderTimeout: p.settings.Limits.ReadHeaderTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    p.settings.Limits.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
}

// bodyTimeout bounds the time in which a caller sends its whole request.
const bodyTimeout = 30 * time.Second

// limited bounds the open connections of callers.
func (p *parts) limited(l net.Listener) net.Listener {
	refused := p.metrics.NewCounter("monsoonlever_connections_refused_total")

	return &listener.Limit{
		Listener: l,
		Max:      int64(p.settings.Limits.MaxConnections),
		Answer:   connectionRefusal(),
		Refused:  refused.Inc,
	}
}

// connectionRefusal is the answer to a connection over the bound.
func connectionRefusal() []byte {
	var b strings.Builder

	recorder := plainResponse{header: http.Header{}, body: &b}
	refusal.New(refusal.Overloaded, "too many connections").WithRetryAfter(time.Second).Write(&recorder)

	return recorder.bytes()
}

// stream names a stream of a deployment.
func stream(deployment, name string) platform.Stream {
	return platform.Stream(deployment + "." + name)
}

func isModel(m *manifest.Manifest, service fleet.Service) (model, known bool) {
	if m == nil {
		return false, false
	}

	s, ok := m.Service(service)

	return ok && s.Kind() == manifest.ModelService, ok
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleServerConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// newRequestID returns an id that sorts by time and holds no dot.
func newRequestID() answer.RequestID {
	return answer.RequestID(uuid.Must(uuid.NewV7()).String())
}

// clients makes the clients of backend servers.
type clients struct {
	http *http.Client
}

// Engine returns a client of a model engine.
func (c clients) Engine(address string) backend.Engine {
	return backend.NewHTTPEngine(address, c.http)
}

// Plain returns a client of a plain service.
func (c clients) Plain(address string) backend.PlainServer {
	return backend.NewHTTPPlainServer(address, c.http)
}
