package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/burn"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
)

// The paths of the operators' interface.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/v1/status"
)

func (p *parts) operatorsServer() *http.Server {
	router := httprouter.New()
	router.GET(PathMetrics, p.serveMetrics)
	router.GET(PathHealth, p.serveHealth)
	router.GET(PathReady, p.serveReady)
	router.GET(PathStatus, p.serveStatus)
	router.GET(burn.Path, p.serveBurn)

	return &http.Server{Handler: router, ReadHeaderTimeout: 5 * time.Second}
}

func (p *parts) serveMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.metrics.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// serveHealth answers as long as the process can answer at all.
func (p *parts) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
}

// serveReady tells the platform's balancer whether to send callers here.
func (p *parts) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	missing := p.missing()
	if len(missing) == 0 {
		w.WriteHeader(http.StatusNoContent)

		return
	}

	w.WriteHeader(http.StatusServiceUnavailable)
	writeJSON(w, Readiness{Missing: missing})
}

// Readiness is the answer of an instance that is not ready.
type Readiness struct {
	Missing []string `json:"missing"`
}

// missing returns what this instance still lacks to take callers.
func (p *parts) missing() []string {
	var missing []string

	if p.gateway.Stopping() {
		missing = append(missing, "instance is stopping")
	}

	if p.follower.Snapshot() == nil {
		missing = append(missing, "no manifest is in force here")
	}

	missing = append(missing, p.missingServers()...)

	if p.peers != nil && p.peers.group.Isolated() && p.clock.Now().Sub(p.startedAt) < joinPatience {
		missing = append(missing, "no other entry instance was reached yet")
	}

	if !p.admission.Ready(p.clock.Now()) {
		missing = append(missing, "no share of the limits is held yet")
	}

	// Without the log no claim can be read; everything else is served.
	if p.claims.healthy() && !p.claims.ready() {
		missing = append(missing, "the claims on the log were not read yet")
	}

	return missing
}

// serversPatience is how long a new instance waits for a backend server of each
// service. The list lags, but a service that is down must not keep others down.
const serversPatience = 5 * time.Second

// joinPatience is how long a new instance waits for another one: two handshakes
// with a slow instance. Others that are all gone must not keep it from serving.
const joinPatience = 10 * time.Second

// missingServers returns the services without a backend server, while this
// instance is new.
func (p *parts) missingServers() []string {
	at, listed := p.watcher.Listed()
	if !listed {
		return []string{"the instance list was not read yet"}
	}

	m := p.manifest()
	if m == nil || p.clock.Now().Sub(at) > serversPatience {
		return nil
	}

	usable := make(map[fleet.Service]bool)

	for _, s := range p.table.Statuses() {
		service, known := m.Service(s.Key().Service())
		// An engine that has not told its model yet gets no request.
		told := s.Key().Model() != "" || service.Kind() == manifest.PlainService

		if known && told && !s.Leaving() && !s.Loading() {
			usable[s.Key().Service()] = true
		}
	}

	var missing []string

	for _, service := range m.Services() {
		if !usable[service.Name()] {
			missing = append(missing, "no backend server of "+string(service.Name())+" is known yet")
		}
	}

	return missing
}

func (p *parts) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, p.status())
}

func (p *parts) serveBurn(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, p.recorder.Snapshot(p.clock.Now()))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader is gone if this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
