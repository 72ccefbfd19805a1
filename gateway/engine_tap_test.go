package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/standin"
)

// engineTap is a handler in front of a model engine stand-in. It can block streams, and
// signals when a generate call starts and ends and when one is cancelled.
type engineTap struct {
	handler http.Handler
	// blockAfter is the number of writes after which a stream blocks until its caller
	// disconnects; zero never blocks.
	blockAfter int
	started    chan struct{}
	ended      chan struct{}
	cancelled  chan struct{}
}

func (e *engineTap) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.GeneratePath:
		e.started <- struct{}{}
		defer func() { e.ended <- struct{}{} }()

		if e.blockAfter > 0 {
			w = &blockingWriter{ResponseWriter: w, remaining: e.blockAfter, release: r.Context().Done()}
		}

		e.handler.ServeHTTP(w, r)
	case backend.CancelPath:
		e.handler.ServeHTTP(w, r)
		e.cancelled <- struct{}{}
	default:
		e.handler.ServeHTTP(w, r)
	}
}

// blockingWriter blocks after a number of writes until release is closed.
type blockingWriter struct {
	http.ResponseWriter
	remaining int
	release   <-chan struct{}
}

func (w *blockingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *blockingWriter) Write(p []byte) (int, error) {
	if w.remaining == 0 {
		<-w.release
	} else {
		w.remaining--
	}

	return w.ResponseWriter.Write(p)
}

// singleEngine is an answer.Picker and an engine source with one engine.
type singleEngine struct {
	engine backend.Engine
}

const testServer fleet.InstanceID = "runner-1"

func (s singleEngine) Pick(answer.Query) (answer.Choice, bool) {
	return answer.Choice{Server: testServer}, true
}

func (s singleEngine) Engine(fleet.InstanceID) (backend.Engine, bool) { return s.engine, true }

func (s singleEngine) Address(fleet.InstanceID) (string, bool) { return "", false }

// noRetries is an exhausted retry budget.
type noRetries struct{}

func (noRetries) Take(time.Time) bool { return false }

// newEngine returns a stand-in for an engine with the test model, the tap in front of
// it, and a source that returns it.
func newEngine(tb testing.TB) (*standin.Engine, *engineTap, singleEngine) {
	tb.Helper()

	engine := standin.NewEngine(clock.System{})
	engine.Model = testModel
	tap := &engineTap{
		handler:   engine.Handler(),
		started:   make(chan struct{}, 1024),
		ended:     make(chan struct{}, 1024),
		cancelled: make(chan struct{}, 1024),
	}

	server := httptest.NewServer(tap)
	tb.Cleanup(server.Close)

	client := &http.Client{Transport: &http.Transport{}}
	tb.Cleanup(client.CloseIdleConnections)

	return engine, tap, singleEngine{engine: backend.NewHTTPEngine(server.Listener.Addr().String(), client)}
}

// newRunner returns a runner that makes only one attempt.
func newRunner(source singleEngine) *answer.Runner {
	limits := answer.DefaultLimits()
	limits.Failures = 0

	return &answer.Runner{
		Clock: clock.System{}, Picker: source, Engines: source, Budget: noRetries{}, Limits: limits,
	}
}
