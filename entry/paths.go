package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"monsoonlever/detour"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/pathprobe"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

const (
	// maxNamedHelpers bounds the helpers in one heartbeat. Successive heartbeats name others.
	maxNamedHelpers = 4
	// helperRequestTTL is how long a request for helpers counts after the heartbeat that made it.
	helperRequestTTL = 2 * time.Second
)

// pathChanged handles the loss of the path to a backend server, and its return. Idle connections
// over a lost path lead nowhere.
func (p *components) pathChanged(c scheduling.PathChange) {
	if !c.Lost {
		klog.InfoS("backend server is reached again", "server", c.Server, "service", c.Service, "after", c.After)

		return
	}

	klog.InfoS("backend server can't be reached", "server", c.Server, "service", c.Service, "refused", c.Refused)
	p.pool.CloseIdle(c.Server.ID)
	p.prober.Suspect(c.Service)
}

// newProber returns the prober of the paths to backend servers.
func (p *components) newProber() *pathprobe.Prober {
	return &pathprobe.Prober{
		Clock: p.clock, Paths: p.scheduler.Paths,
		Dial: func(ctx context.Context, path scheduling.Path) error {
			return p.pool.Connect(ctx, upstream.Server{ID: path.ID, Address: path.Address})
		},
		Silent: p.scheduler.SilentPaths, SilentFailed: p.silentServerFailed,
		Record: func(path scheduling.Path, err error) {
			if !showsPath(err) {
				return
			}

			p.scheduler.RecordPath(p.clock.Now(), path.ID, path.Address, err == nil, errors.Is(err, unix.ECONNREFUSED))
		},
		StillLost: func(service fleet.Service) { p.scheduler.StillLost(p.clock.Now(), service) },
	}
}

// showsPath reports whether the result of a dial shows whether there is a path.
func showsPath(err error) bool {
	return !errors.Is(err, upstream.ErrConnectionLimit) && !errors.Is(err, upstream.ErrCut)
}

// silentServerFailed interrupts the requests to a silent server that may be repeated, unless it has
// responded to one since.
func (p *components) silentServerFailed(path scheduling.Path, err error) {
	if showsPath(err) && !p.scheduler.HeardSince(path.ID, path.HeardAt) {
		p.pool.Interrupt(path.ID)
	}
}

// newDetourClient returns the client by which other instances serve requests of this one.
func (p *components) newDetourClient(set *metrics.Set) *detour.Client {
	p.helpers = &detour.Helpers{Self: p.self()}

	return &detour.Client{
		Clock: p.clock, Self: p.self(), Helpers: p.helpers, Dialer: upstream.Dialer(relayDialTimeout), Slots: p.serverSlots,
		Counters: detour.NewCounters(set), Buffers: p.buffers,
	}
}

// prepareDetour checks a request of another instance. An instance that stops takes none: it may end
// before the request does.
func (p *components) prepareDetour(
	ctx context.Context, r forward.DetourRequest,
) (func(context.Context, forward.Sink) forward.DetourResult, *forward.Refusal) {
	if p.stopping.Load() {
		return nil, &forward.Refusal{Reason: forward.NoServer, NotRun: true, Cause: "instance stops"}
	}

	return p.forwarder.PrepareDetour(ctx, r)
}

// recordHelpers records what a heartbeat says of helpers.
func (p *components) recordHelpers(now time.Time, h *heartbeat) {
	switch {
	case h.Stopping:
		p.helpers.Remove(h.Instance)
	case h.Detours:
		p.helpers.Record(now, detour.Helper{ID: h.Instance, Address: h.Address}, h.LostServices)
	}

	for _, helper := range h.Helpers {
		p.helpers.RecordNamed(now, helper)
	}

	if h.WantsHelpers {
		p.helperRequests.record(now, h.Instance, h.LostServices)
	}
}

// helpersFor returns some helpers for an instance that asked for them.
func (p *components) helpersFor(now time.Time, to fleet.InstanceID) []detour.Helper {
	lost, wanted := p.helperRequests.of(now, to)
	if !wanted {
		return nil
	}

	return p.helpers.Sample(now, maxNamedHelpers, lost, to)
}

// helperRequests holds which instances asked for helpers. The zero value is empty.
type helperRequests struct {
	mu    sync.Mutex
	known map[fleet.InstanceID]helperRequest
}

type helperRequest struct {
	lost []fleet.Service
	at   time.Time
}

func (r *helperRequests) record(now time.Time, from fleet.InstanceID, lost []fleet.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.known == nil {
		r.known = make(map[fleet.InstanceID]helperRequest)
	}

	r.known[from] = helperRequest{lost: lost, at: now}
}

// of returns the services that an instance can't reach, and reports whether it wants helpers.
func (r *helperRequests) of(now time.Time, id fleet.InstanceID) ([]fleet.Service, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	request, ok := r.known[id]

	return request.lost, ok && now.Sub(request.at) < helperRequestTTL
}

// any reports whether an instance wants helpers with a service that it can't reach itself, and
// forgets old requests.
func (r *helperRequests) any(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	wanted := false

	for id, request := range r.known {
		if now.Sub(request.at) >= helperRequestTTL {
			delete(r.known, id)

			continue
		}

		wanted = wanted || len(request.lost) > 0
	}

	return wanted
}
