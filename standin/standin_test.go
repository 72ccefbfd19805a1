package standin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/standin"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const model = "m1"

// serve returns the address of a handler that is served until the test ends.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()

	server := httptest.NewServer(h)
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

func apply(t *testing.T, f *standin.Faults, o standin.FaultOrder) {
	t.Helper()

	if err := f.Apply(o); err != nil {
		t.Fatalf("apply fault: got %v, want none", err)
	}
}

func newEngine() *standin.Engine {
	engine := standin.NewEngine(clock.System{})
	engine.Model = model

	return engine
}

func clientOf(t *testing.T, engine *standin.Engine) *backend.HTTPEngine {
	t.Helper()

	return backend.NewHTTPEngine(serve(t, engine.Handler()), &http.Client{})
}

// collect reads a stream to its end.
func collect(s backend.TokenStream) ([]backend.TokenEvent, error) {
	defer s.Close()

	var events []backend.TokenEvent

	for {
		event, err := s.Next()
		if err != nil {
			return events, err
		}

		events = append(events, event)
	}
}

func generate(t *testing.T, e backend.Engine, r backend.GenerateRequest) ([]backend.TokenEvent, error) {
	t.Helper()

	stream, err := e.Generate(t.Context(), r)
	if err != nil {
		return nil, err
	}

	return collect(stream)
}
