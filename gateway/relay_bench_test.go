package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/refusal"
)

// cannedTransport responds to a generate call with a stream that is cheap to produce,
// so that a benchmark measures the relay and not the engine.
type cannedTransport struct {
	tokens int
}

func (c cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var request backend.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, err
	}

	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {backend.EventStreamType}},
		Body:       io.NopCloser(&cannedEvents{attempt: string(request.Attempt), tokens: c.tokens}),
		Request:    r,
	}, nil
}

// cannedEvents returns one event per read.
type cannedEvents struct {
	attempt string
	next    int
	tokens  int
}

func (e *cannedEvents) Read(p []byte) (int, error) {
	if e.next > e.tokens {
		return 0, io.EOF
	}

	buf := p[:0]
	buf = append(buf, `data: {"attempt":"`...)
	buf = append(buf, e.attempt...)
	buf = append(buf, `","offset":`...)
	buf = strconv.AppendInt(buf, int64(e.next), 10)

	if e.next < e.tokens {
		buf = append(buf, `,"token":" token"}`...)
	} else {
		buf = append(buf, `,"token":"","finish":"stop","usage":{}}`...)
	}

	buf = append(buf, "\n\n"...)
	e.next++

	return len(buf), nil
}

// discardWriter is a response writer that discards the body.
type discardWriter struct {
	header http.Header
}

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// relayTokens relays an answer of the given number of tokens from the stream of an
// engine to a response, and reports whether the answer is complete.
func relayTokens(tb testing.TB, g *Gateway, tokens int) bool {
	tb.Helper()

	client := &http.Client{Transport: cannedTransport{tokens: tokens}}
	runner := newRunner(singleEngine{engine: backend.NewHTTPEngine("127.0.0.1:1", client)})

	call := chatCall{arrived: time.Now()}
	call.request.Model = testModel
	call.request.Stream = true
	request := answer.Request{ID: "request-1", Model: testModel, Deadline: time.Now().Add(time.Hour)}
	out := g.newSink(&discardWriter{header: http.Header{}}, call, request.ID)

	complete, ok := runner.Run(tb.Context(), request, out).Complete()

	return ok && complete.Tokens == tokens
}

// BenchmarkRelayedToken relays b.N tokens as one answer, so that the fixed cost of a
// request is negligible.
func BenchmarkRelayedToken(b *testing.B) {
	g := newGateway(b)

	b.ReportAllocs()
	b.ResetTimer()

	if !relayTokens(b, g, b.N) {
		b.Fatalf("answer: got an incomplete one, want %d tokens", b.N)
	}
}

func TestRelayedTokenCostsOneAllocation(t *testing.T) {
	const (
		tokens = 10_000
		// maxPerToken allows for the fixed allocations of a request.
		maxPerToken = 1.1
	)

	g := newGateway(t)

	allocations := testing.AllocsPerRun(3, func() {
		if !relayTokens(t, g, tokens) {
			t.Fatal("answer: got an incomplete one, want a complete one")
		}
	})

	if got := allocations / tokens; got > maxPerToken {
		t.Errorf("allocations per token: got %.2f, want at most %.1f", got, maxPerToken)
	}
}

// instantPlain replies immediately.
type instantPlain struct{}

func (instantPlain) Call(context.Context, PlainRequest) (backend.Reply, *refusal.Refusal) {
	return backend.Reply{Status: http.StatusOK, Body: []byte("ok")}, nil
}

// BenchmarkPlainRequest measures the gateway's share of a plain call, without sockets
// and backend servers.
func BenchmarkPlainRequest(b *testing.B) {
	g := newGateway(b)
	g.Plain = instantPlain{}
	h := g.Handler()

	b.ReportAllocs()

	for range b.N {
		r := newRequest(http.MethodGet, "/services/payrun-api/bank-files/1", "")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)

		if w.Code != http.StatusOK {
			b.Fatalf("status: got %d, want 200", w.Code)
		}
	}
}

// BenchmarkChatRequest measures a complete chat request of 100 tokens, without sockets.
func BenchmarkChatRequest(b *testing.B) {
	transport := cannedTransport{tokens: 100}
	source := singleEngine{engine: backend.NewHTTPEngine("127.0.0.1:1", &http.Client{Transport: transport})}
	g := newGateway(b)
	g.Clock = clock.System{}
	g.Models = runnerModels{runner: newRunner(source)}
	h := g.Handler()
	body := strings.Replace(streamBody, `"x"`, strconv.Quote(testQuestion), 1)

	b.ReportAllocs()

	for range b.N {
		w := &discardWriter{header: http.Header{}}
		h.ServeHTTP(w, newRequest(http.MethodPost, PathChat, body))

		if w.header.Get("Content-Type") != "text/event-stream" {
			b.Fatalf("answer: got %v, want a stream", w.header)
		}
	}
}
