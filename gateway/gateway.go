// Package gateway serves the callers' HTTP API.
//
// It authenticates the client account, limits the size of requests, looks up
// the service and the kind of call in the manifest in force, passes the request
// through admission, and writes either the answer or one final refusal. The
// answer itself comes from a ModelServer or a PlainServer.
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

// The paths of the callers' API.
const (
	PathChat     = "/v1/chat/completions"
	PathModels   = "/v1/models"
	PathAnswer   = "/v1/answers/:id"
	PathServices = "/services/:service/*path"
)

// ModelServer answers model requests.
type ModelServer interface {
	// Answer writes the answer to the sink and returns after the sink received
	// its end, which is either a complete answer or a give-up.
	Answer(ctx context.Context, r ModelRequest, sink answer.Sink) answer.Result
}

// PlainServer answers calls of plain services.
type PlainServer interface {
	// Call returns the reply of the service, or a refusal if there is none.
	Call(ctx context.Context, r PlainRequest) (backend.Reply, *refusal.Refusal)
}

// Observer receives an observation of each finished request.
type Observer interface {
	Observe(o Observation)
}

// Gateway serves the callers' API. The exported fields must be set before Handler
// is called.
type Gateway struct {
	Clock clock.Clock
	// Manifest returns the manifest in force, or nil if none has been loaded yet.
	Manifest  func() *manifest.Manifest
	Admission *admission.Controller
	Models    ModelServer
	Plain     PlainServer
	// Retained runs answers that outlive the connection of their caller. If it is
	// nil, streams can't be resumed and answers can't be requested asynchronously.
	Retained RetainedAnswers
	Observer Observer
	// NewID returns a new request ID.
	NewID        func() answer.RequestID
	MaxBodyBytes int64
	// WriteTimeout limits the duration of each write to a caller.
	WriteTimeout time.Duration
	Metrics      *metrics.Set

	stopping    atomic.Bool
	instruments *instruments
}

// Handler returns the handler of the callers' API.
func (g *Gateway) Handler() http.Handler {
	g.instruments = newInstruments(g.Metrics)

	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refused := refusal.New(refusal.UnknownService, "nothing is served for %s %s", r.Method, r.URL.Path)
		g.refuseUnclassified(w, notStartedIfKeyed(r.Header, refused))
	})
	router.POST(PathChat, g.chat)
	router.GET(PathModels, g.models)
	router.GET(PathAnswer, g.retainedAnswer)

	for _, method := range []string{
		http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		router.Handle(method, PathServices, g.plain)
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		router.ServeHTTP(&closingWriter{ResponseWriter: w, gateway: g}, r)
	})
}

// Stop makes the gateway refuse new requests. Running requests continue.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
}

// Stopping reports whether Stop was called.
func (g *Gateway) Stopping() bool {
	return g.stopping.Load()
}

// OpenRequests returns the number of requests in progress.
func (g *Gateway) OpenRequests() int64 {
	return g.instruments.open.Load()
}
