package discovery

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"k8s.io/klog/v2"

	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/routing"
)

// The defaults of a Watcher.
const (
	defaultListEvery   = 2 * time.Second
	defaultNoticeEvery = 250 * time.Millisecond
	defaultReportEvery = 500 * time.Millisecond
	defaultStateEvery  = 2 * time.Second
	defaultTickEvery   = 250 * time.Millisecond
	defaultTimeout     = time.Second
	// maxPolls bounds the backend servers that are asked at a time.
	maxPolls = 32
)

// Watcher polls every source of news on backend servers. The exported fields
// are set before Run; a zero duration stands for its default.
type Watcher struct {
	Clock     clock.Clock
	List      provider.InstanceList
	Cloud     provider.Cloud
	Directory *Directory
	Table     *routing.Table
	Leaving   *answer.Leaving
	// InForce tells whether a manifest is in force. Without one nothing is known
	// of the listed services.
	InForce func() bool
	// IsModel tells whether a service of the manifest in force is served by
	// model engines, and known whether there is such a service.
	IsModel func(fleet.Service) (model, known bool)
	// Announced is told of each leaving instance, and again if it leaves earlier
	// than was known; it may be nil.
	Announced func(id fleet.InstanceID, at time.Time, source routing.Source)

	ListEvery   time.Duration
	NoticeEvery time.Duration
	ReportEvery time.Duration
	// StateEvery is the least time between two questions for the state of a ready
	// engine, which changes rarely. One that is not ready yet is asked with each
	// report. Cache events are read with each report: later ones cost tokens.
	StateEvery time.Duration
	TickEvery  time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	Metrics *metrics.Set

	announcing sync.Mutex
	once       sync.Once
	wake       chan struct{}
	listed     atomic.Int64
	notice     uint64
	listDown   atomic.Bool
	cloudDown  atomic.Bool
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.init()

	var group conc.WaitGroup

	group.Go(func() { w.every(ctx, w.wake, w.ListEvery, defaultListEvery, w.pollList) })
	group.Go(func() { w.every(ctx, nil, w.NoticeEvery, defaultNoticeEvery, w.pollNotices) })
	group.Go(func() { w.every(ctx, nil, w.ReportEvery, defaultReportEvery, w.pollServers) })
	group.Go(func() {
		w.every(ctx, nil, w.TickEvery, defaultTickEvery, func(context.Context) { w.Table.Tick(w.Clock.Now(), Random{}) })
	})
	group.Wait()
}

// Refresh reads the list now, as after a change of the manifest.
func (w *Watcher) Refresh() {
	w.init()

	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Watcher) init() {
	w.once.Do(func() { w.wake = make(chan struct{}, 1) })
}

// Listed returns when the list was first read under a manifest, and whether it was.
func (w *Watcher) Listed() (time.Time, bool) {
	at := w.listed.Load()

	return time.Unix(0, at), at != 0
}

func (w *Watcher) every(
	ctx context.Context, wake <-chan struct{}, d, fallback time.Duration, step func(context.Context),
) {
	if d <= 0 {
		d = fallback
	}

	for ctx.Err() == nil {
		step(ctx)

		select {
		case <-ctx.Done():
		case <-w.Clock.After(d):
		case <-wake:
		}
	}
}

func (w *Watcher) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := w.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}

	return context.WithTimeout(ctx, timeout)
}

func (w *Watcher) pollList(parent context.Context) {
	if !w.InForce() {
		return
	}

	ctx, cancel := w.bounded(parent)
	defer cancel()

	listings, err := w.List.Listings(ctx)
	if !w.heard(&w.listDown, "instance list", err) {
		return
	}

	backends := make([]provider.Listing, 0, len(listings))

	for _, l := range listings {
		if _, known := w.IsModel(l.Service); known {
			backends = append(backends, l)
		}
	}

	w.Directory.update(backends)
	w.Table.UpdateList(w.Clock.Now(), backends)
	w.listed.CompareAndSwap(0, w.Clock.Now().UnixNano())
	w.Leaving.ForgetBefore(w.Clock.Now().Add(-leavingMemory))
}

func (w *Watcher) pollNotices(parent context.Context) {
	ctx, cancel := w.bounded(parent)
	defer cancel()

	notices, err := w.Cloud.Notices(ctx, w.notice)
	if !w.heard(&w.cloudDown, "cloud API", err) {
		return
	}

	for _, n := range notices {
		w.notice = max(w.notice, n.Sequence)
		w.announce(n.Instance, n.At, routing.SourceNotice)
	}
}

// Heard takes in what another entry instance says of a leaving server.
func (w *Watcher) Heard(id fleet.InstanceID, at time.Time) {
	w.announce(id, at, routing.SourcePeer)
}

// announce takes in that a server leaves. Of several times the earliest stays:
// a server's own word has none, and the notice that follows may be short.
func (w *Watcher) announce(id fleet.InstanceID, at time.Time, source routing.Source) {
	w.announcing.Lock()
	defer w.announcing.Unlock()

	known, again := w.Leaving.At(id)
	if again && !at.Before(known) {
		return
	}

	if !again {
		w.Table.MarkLeaving(w.Clock.Now(), id, source)
		klog.InfoS("backend server is leaving", "instance", id, "source", source, "at", at)
	}

	w.Leaving.Announce(id, at)

	if w.Announced != nil {
		w.Announced(id, at, source)
	}
}

func (w *Watcher) pollServers(ctx context.Context) {
	p := pool.New().WithMaxGoroutines(maxPolls)

	for _, s := range w.Directory.Servers() {
		p.Go(func() { w.pollServer(ctx, s) })
	}

	p.Wait()
}

// pollServer asks one server. A server that does not answer is judged by its
// requests, not by this call.
func (w *Watcher) pollServer(parent context.Context, s *Server) {
	ctx, cancel := w.bounded(parent)
	defer cancel()

	model, known := w.IsModel(s.Service())
	if !known {
		return
	}

	report, err := s.plain.Load(ctx)
	if err != nil {
		return
	}

	now := w.Clock.Now()
	w.Table.Report(now, s.ID(), report)

	if report.Leaving {
		w.announce(s.ID(), now.Add(ownWordNotice), routing.SourceServer)
	}

	if !model {
		return
	}

	if s.stateDue(now) {
		w.pollState(ctx, s)
	}

	w.pollCacheEvents(ctx, s)
}

// leavingMemory is how long a server is remembered after its reclaim, far longer
// than one lasts.
const leavingMemory = time.Hour

// ownWordNotice is the time that a server which says itself that it leaves is
// taken to stay, since its word brings no time.
const ownWordNotice = 10 * time.Second

func (w *Watcher) pollState(ctx context.Context, s *Server) {
	state, err := s.engine.State(ctx)
	if err != nil {
		return
	}

	now := w.Clock.Now()
	w.Table.UpdateEngineState(now, s.ID(), state)

	if state.Ready {
		s.askStateAt(now.Add(cmp.Or(w.StateEvery, defaultStateEvery)))
	}
}

func (w *Watcher) pollCacheEvents(ctx context.Context, s *Server) {
	events, err := s.engine.CacheEvents(ctx, s.cacheSequence.Load())
	if err != nil || len(events) == 0 {
		return
	}

	s.cacheSequence.Store(events[len(events)-1].Sequence)
	w.Table.CacheEvents(w.Clock.Now(), s.ID(), events)
}

// heard counts the outcome of a poll, and logs when a source goes or comes back.
func (w *Watcher) heard(down *atomic.Bool, source string, err error) bool {
	if err == nil {
		if down.Swap(false) {
			klog.InfoS("source is back", "source", source)
		}

		return true
	}

	w.Metrics.GetOrCreateCounter(`monsoonlever_discovery_errors_total{source="` + source + `"}`).Inc()

	if !down.Swap(true) {
		klog.InfoS("source is down", "source", source, "err", err)
	}

	return false
}

// Random is the process's source of random numbers.
type Random struct{}

// Uint64 returns a random number.
func (Random) Uint64() uint64 {
	return rand.Uint64()
}
