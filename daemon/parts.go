package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/burn"
	"monsoonlever/claim"
	"monsoonlever/clock"
	"monsoonlever/controller"
	"monsoonlever/discovery"
	"monsoonlever/dispatch"
	"monsoonlever/evacuation"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/journal"
	"monsoonlever/keys"
	"monsoonlever/listener"
	"monsoonlever/manifest"
	"monsoonlever/membership"
	"monsoonlever/peer"
	"monsoonlever/platform"
	"monsoonlever/publication"
	"monsoonlever/refusal"
	"monsoonlever/retry"
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
	// demandSpread is the longest time in which the demand of one instance
	// normally reaches the others; a silent one is counted for demandLapse.
	demandSpread = 1500 * time.Millisecond
	demandLapse  = 10 * time.Second
	// demandFloor is the part of each limit that is shared evenly.
	demandFloor = 0.1
	// fetchEvery and fetchTries bound the questions to other instances for an
	// answer that is not held here.
	fetchEvery = 100 * time.Millisecond
	fetchTries = 50
	// copyTimeout bounds the wait for a copy in another failure domain.
	copyTimeout = 2 * time.Second
	// followerGrace is how long a streamed answer goes on without its caller.
	followerGrace = 5 * time.Second
	// plainAttempts bounds the backend servers that one call is sent to.
	plainAttempts = 4
	// answerRetryShare and answerRetryLeast bound the further attempts at answers
	// of which their callers have nothing yet. The loss of a failure domain
	// without notice takes a quarter of them at once.
	answerRetryShare = 0.5
	answerRetryLeast = 20
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
	claims      *claims
	table       *routing.Table
	leaving     *answer.Leaving
	directory   *discovery.Directory
	watcher     *discovery.Watcher
	admission   *admission.Controller
	recorder    *burn.Recorder
	runner      *answer.Runner
	desk        *evacuation.Desk
	wave        *evacuation.Wave
	replicator  *answer.Replicator
	answers     *dispatch.Answers
	// peers is nil for an instance without keys, which stands alone.
	peers *peers
	// controller is nil for an instance that takes no part in control.
	controller *controller.Controller
	gateway    *gateway.Gateway
	// reclaimed gets the time at which this instance itself is reclaimed.
	reclaimed chan time.Time
}

func (d *Daemon) build(l *Listeners) (*parts, error) {
	p := &parts{
		settings:    d.Settings,
		clock:       d.Clock,
		incarnation: fleet.Incarnation(d.Clock.Now().UnixNano()),
		metrics:     metrics.NewSet(),
		leaving:     &answer.Leaving{},
		reclaimed:   make(chan time.Time, 1),
	}

	p.buildControl()
	p.buildServers()
	p.buildRequests()
	p.buildController()

	return p, p.buildPeers(l)
}

// buildControl makes what follows the platform's log.
func (p *parts) buildControl() {
	log := platform.NewHTTPLog(p.settings.Platform.Log, newClient())

	p.follower = &publication.Follower{
		Log: log, Stream: publication.StreamOf(p.settings.Deployment), Clock: p.clock,
		Random: newRandom(), OnChange: p.configure,
	}

	client := &journal.Client{
		Log: log, Clock: p.clock, Stream: stream(p.settings.Deployment, "claims"),
		Writer: p.settings.Instance, Incarnation: p.incarnation,
		AppendsPerSecond: p.settings.AppendsPerSecond - p.controlShare(), Rand: newRandom(),
	}
	p.claims = newClaims(&claim.Keeper{
		Journal: client, Clock: p.clock, KeepHeader: dispatch.KeptHeaders,
		Config: claim.Config{Self: p.settings.Instance, Incarnation: p.incarnation},
	}, client)

	p.recorder = &burn.Recorder{Instance: p.settings.Instance}
	p.admission = &admission.Controller{Instance: p.settings.Instance, Clock: p.clock, Metrics: p.metrics}

	if p.settings.TLS != nil {
		p.admission.Sharing = admission.Sharing{Spread: demandSpread, Lapse: demandLapse, Floor: demandFloor}
	}
}

// buildServers makes what watches the backend servers.
func (p *parts) buildServers() {
	client := newClient()
	p.table = &routing.Table{Self: p.settings.Instance, Domain: p.settings.FailureDomain, Metrics: p.metrics}
	p.directory = discovery.NewDirectory(clients{http: newClient()})
	p.wave = &evacuation.Wave{HalfLife: waveHalfLife}
	p.desk = &evacuation.Desk{
		Clock:       p.clock,
		Coordinator: newCoordinator(p.wave),
		Targets:     p.exportTargets,
	}
	p.watcher = &discovery.Watcher{
		Clock: p.clock, Directory: p.directory, Table: p.table, Leaving: p.leaving,
		List:    platform.NewHTTPList(p.settings.Platform.List, client),
		Cloud:   platform.NewHTTPCloud(p.settings.Platform.Cloud, client),
		InForce: func() bool { return p.manifest() != nil },
		IsModel: func(service fleet.Service) (bool, bool) {
			return isModel(p.manifest(), service)
		},
		Announced: p.announced,
		Metrics:   p.metrics,
	}
}

// buildRequests makes the path of a request.
func (p *parts) buildRequests() {
	budgets := retry.NewBudgets(retry.BudgetPolicy{})
	answers := retry.NewBudgets(retry.BudgetPolicy{Share: answerRetryShare, Least: answerRetryLeast}).Of(retry.Scope{})

	p.runner = &answer.Runner{
		Clock:         p.clock,
		Picker:        &dispatch.Picker{Clock: p.clock, Manifest: p.manifest, Table: p.table},
		Engines:       p.directory,
		Budget:        answers,
		Limits:        answer.DefaultLimits(),
		Leaving:       p.leaving,
		Exports:       p.desk,
		CancelTimeout: cancelTimeout,
	}
	p.replicator = &answer.Replicator{
		Clock: p.clock,
		Store: &answer.Store{
			Self: answer.Member{
				ID: p.settings.Instance, Incarnation: p.incarnation, Domain: p.settings.FailureDomain,
			},
			Policy: answer.DefaultStorePolicy(),
		},
		FetchEvery: fetchEvery,
		FetchTries: fetchTries,
	}
	p.answers = &dispatch.Answers{
		Clock: p.clock, Replicator: p.replicator, Runner: p.runner, Budget: answers,
		CopyTimeout: copyTimeout, Grace: followerGrace,
	}
	p.replicator.Register(p.metrics)
	p.replicator.Continue = p.answers.Continue
	p.replicator.Stop = p.answers.Stop
	p.replicator.Followed = p.answers.Followed
	p.replicator.Sender = noPeers{}
	p.gateway = &gateway.Gateway{
		Clock:     p.clock,
		Manifest:  p.manifest,
		Admission: p.admission,
		Models:    &dispatch.Models{Clock: p.clock, Runner: p.runner, Budget: answers},
		Plain: &dispatch.Plain{
			Clock: p.clock, Table: p.table, Directory: p.directory, Claims: p.claims,
			Retry: &retry.Policy{Budgets: budgets, Attempts: plainAttempts, Metrics: p.metrics},
		},
		Kept:         p.answers,
		Observer:     &observer{clock: p.clock, recorder: p.recorder},
		IDs:          newRequestID,
		MaxBodyBytes: p.settings.Limits.MaxBodyBytes,
		WriteTimeout: writeTimeout,
		Metrics:      p.metrics,
	}
}

// buildPeers makes what joins this instance with the others.
func (p *parts) buildPeers(l *Listeners) error {
	if p.settings.TLS == nil {
		klog.InfoS("no keys in the settings: this instance stands alone and its answers have no copies")

		return nil
	}

	files := keys.Files{CA: p.settings.TLS.CAFile, Certificate: p.settings.TLS.CertFile, Key: p.settings.TLS.KeyFile}

	config, err := files.TLSOf(string(p.settings.Instance), p.clock)
	if err != nil {
		return merry.Prepend(err, "load keys of this instance")
	}

	node := &peer.Node{
		ID: p.settings.Instance, Incarnation: p.incarnation, Domain: p.settings.FailureDomain,
		Deployment: p.settings.Deployment, Listener: l.Peers, Advertise: p.settings.PeerAddress,
		TLS: config, Clock: p.clock,
	}
	p.peers = &peers{
		clock: p.clock,
		node:  node,
		group: &membership.Group{
			Node: node, Clock: p.clock, Region: p.settings.Region, Seeds: p.settings.Seeds,
			List: p.watcher.List, Locate: p.locateEntry,
		},
		admission:  p.admission,
		replicator: p.replicator,
		follower:   p.follower,
		claims:     p.claims,
		table:      p.table,
		heard:      func(news LeavingNews) { p.watcher.Heard(news.Instance, news.At) },
		payload: func() Payload {
			return Payload{Manifest: p.follower.Version(), Operators: l.Operators.Addr().String()}
		},
	}
	p.replicator.Sender = p.peers

	return merry.Prepend(p.peers.register(), "prepare peers")
}

// locateEntry returns the peer address of a listed entry instance.
func (p *parts) locateEntry(l platform.Listing) (string, bool) {
	return l.Address, l.Service == p.settings.EntryService
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
	group.Go(func() { p.desk.Run(ctx) })
	group.Go(func() { p.replicator.Run(ctx) })

	if p.controller != nil {
		group.Go(func() { p.runController(ctx) })
	}

	if p.peers != nil {
		group.Go(func() { p.peers.run(ctx) })
	}

	group.Wait()
}

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
