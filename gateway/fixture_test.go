package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

const (
	testSecret  = "demo-key-nordhavn-engros"
	testAccount = "nordhavn-engros"
	testModel   = "ledger-large"
)

// recordingPlain records calls and replies to each with status 200, or refuses it.
type recordingPlain struct {
	mu      sync.Mutex
	calls   []PlainRequest
	refused *refusal.Refusal
}

func (p *recordingPlain) Call(_ context.Context, r PlainRequest) (backend.Reply, *refusal.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, r)

	return backend.Reply{Status: http.StatusOK, Body: []byte("ok")}, p.refused
}

func (p *recordingPlain) paths() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	var paths []string
	for _, c := range p.calls {
		paths = append(paths, c.Call.Path)
	}

	return paths
}

func loadManifest(tb testing.TB) *manifest.Manifest {
	tb.Helper()

	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		tb.Fatal(err)
	}

	m, err := manifest.Parse("kronvig.manifest.jsonc", data)
	if err != nil {
		tb.Fatal(err)
	}

	return m
}

func newController(tb testing.TB, m *manifest.Manifest, accounts ...admission.AccountConfig) *admission.Controller {
	tb.Helper()

	var config admission.Config
	for _, s := range m.Services() {
		config.Services = append(config.Services, admission.ServiceConfig{Service: s.Name()})
	}

	config.Accounts = accounts
	if len(accounts) == 0 {
		config.Accounts = []admission.AccountConfig{{Account: testAccount}}
	}

	c := &admission.Controller{Instance: "entry-1", Clock: clock.System{}}
	if err := c.Configure(time.Now(), config); err != nil {
		tb.Fatal(err)
	}

	return c
}

func newGateway(tb testing.TB, accounts ...admission.AccountConfig) *Gateway {
	tb.Helper()

	m := loadManifest(tb)

	return &Gateway{
		Clock:        clock.System{},
		Manifest:     func() *manifest.Manifest { return m },
		Admission:    newController(tb, m, accounts...),
		Plain:        &recordingPlain{},
		NewID:        func() answer.RequestID { return "request-1" },
		MaxBodyBytes: 1 << 10,
		WriteTimeout: time.Second,
		Metrics:      metrics.NewSet(),
	}
}

func newRequest(method, target, body string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testSecret)

	return r
}

// send returns the status of the response and, if it is a refusal, its detail.
func send(t *testing.T, h http.Handler, r *http.Request) (int, refusal.Detail) {
	t.Helper()

	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)

	var body refusal.Body
	if w.Code >= http.StatusBadRequest {
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Fatalf("refusal: %v in %q", err, w.Body)
		}
	}

	return w.Code, body.Error
}
