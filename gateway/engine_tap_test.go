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

// engineTap stands before an engine's stand-in. It can hold its streams, and
// tells when one ended and when one was cancelled.
type engineTap struct {
	handler http.Handler
	// holdAfter is the number of writes after which a stream is held until its
	// caller has gone; zero holds none.
	holdAfter int
	started   chan struct{}
	ended     chan struct{}
	cancelled chan struct{}
}

func (e *engineTap) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.GeneratePath:
		e.started <- struct{}{}
		defer func() { e.ended <- struct{}{} }()

		if e.holdAfter > 0 {
			w = &heldWriter{ResponseWriter: w, left: e.holdAfter, release: r.Context().Done()}
		}

		e.handler.ServeHTTP(w, r)
	case backend.CancelPath:
		e.handler.ServeHTTP(w, r)
		e.cancelled <- struct{}{}
	default:
		e.handler.ServeHTTP(w, r)
	}
}

// heldWriter blocks after a number of writes.
type heldWriter struct {
	http.ResponseWriter
	left    int
	release <-chan struct{}
}

func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *heldWriter) Write(p []byte) (int, error) {
	if w.left == 0 {
		<-w.release
	} else {
		w.left--
	}

	return w.ResponseWriter.Write(p)
}

// singleEngine picks and finds the one engine there is.
type singleEngine struct {
	engine backend.Engine
}

const testServer fleet.InstanceID = "runner-1"

func (s singleEngine) Pick(answer.Query) (answer.Choice, bool) {
	return answer.Choice{Server: testServer}, true
}

func (s singleEngine) Engine(fleet.InstanceID) (backend.Engine, bool) { return s.engine, true }

func (s singleEngine) Address(fleet.InstanceID) (string, bool) { return "", false }

// noRetries is a retry budget that is spent.
type noRetries struct{}

func (noRetries) Take(time.Time) bool { return false }

// newEngine returns a stand-in of the test model behind a tap, and a source that
// finds it.
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

// newRunner returns a runner that makes no second attempt.
func newRunner(source singleEngine) *answer.Runner {
	limits := answer.DefaultLimits()
	limits.Failures = 0

	return &answer.Runner{
		Clock: clock.System{}, Picker: source, Engines: source, Budget: noRetries{}, Limits: limits,
	}
}
