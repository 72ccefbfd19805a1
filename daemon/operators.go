package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/burn"
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

	if !p.watcher.Listed() {
		missing = append(missing, "the instance list was not read yet")
	}

	// Without the log no claim can be read; everything else is served.
	if p.claims.healthy() && !p.claims.ready() {
		missing = append(missing, "the claims on the log were not read yet")
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
