// Package gateway serves callers over HTTP.
//
// It authenticates the client account, bounds what a caller may send, finds
// the service and the kind of call in the manifest in force, passes the request
// through admission, and writes the answer or one final refusal. How a request
// is answered is left to a ModelServer and a PlainServer.
//
// # Usage
//
//	g := &gateway.Gateway{
//		Clock: clock.System{}, Manifest: follower.Manifest,
//		Admission: controller, Models: models, Plain: services,
//	}
//	server := &http.Server{Handler: g.Handler()}
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// The paths of the callers' interface.
const (
	PathChat     = "/v1/chat/completions"
	PathModels   = "/v1/models"
	PathAnswer   = "/v1/answers/:id"
	PathServices = "/services/:service/*path"
)

// ModelServer answers model requests.
type ModelServer interface {
	// Answer returns once the sink has its final answer.
	Answer(ctx context.Context, r ModelRequest, sink answer.Sink) answer.Result
}

// PlainServer answers calls of plain services.
type PlainServer interface {
	// Call returns the reply of the service, or why there is none.
	Call(ctx context.Context, r PlainRequest) (backend.Reply, *refusal.Refusal)
}

// Observer is told of each request that ended.
type Observer interface {
	Observe(o Observation)
}

// Gateway is the callers' interface. The exported fields are set before Handler.
type Gateway struct {
	Clock clock.Clock
	// Manifest returns the manifest in force, or nil before there is one.
	Manifest  func() *manifest.Manifest
	Admission *admission.Controller
	Models    ModelServer
	Plain     PlainServer
	// Retained lets streamed answers outlive their connection; nil lets none.
	Retained RetainedAnswers
	Observer Observer
	// NewID returns a new request ID.
	NewID        func() answer.RequestID
	MaxBodyBytes int64
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	Metrics      *metrics.Set

	stopping    atomic.Bool
	instruments *instruments
}

// Handler returns the handler of the callers' interface.
func (g *Gateway) Handler() http.Handler {
	g.instruments = newInstruments(g.Metrics)

	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refused := refusal.New(refusal.UnknownService, "nothing is served for %s %s", r.Method, r.URL.Path)
		g.refuseUnknown(w, beforeClaim(r.Header, refused))
	})
	router.POST(PathChat, g.chat)
	router.GET(PathModels, g.models)
	router.GET(PathAnswer, g.keptAnswer)

	for _, method := range []string{
		http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, PathServices, g.plain)
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		router.ServeHTTP(&closingWriter{ResponseWriter: w, gateway: g}, r)
	})
}

// Stop refuses requests that come from now on; those that run go on.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
}

// Stopping tells whether Stop was called.
func (g *Gateway) Stopping() bool {
	return g.stopping.Load()
}

// OpenRequests returns the number of requests under way.
func (g *Gateway) OpenRequests() int64 {
	return g.instruments.open.Load()
}
