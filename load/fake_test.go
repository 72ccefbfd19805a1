package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"monsoonlever/chat"
	"monsoonlever/refusal"
)

// fakeFault is what a fakeServer does wrong, on every call it is about.
type fakeFault int

const (
	noFault fakeFault = iota
	wrongToken
	cutStream
	claimWhole
	silent
	breakConnection
	runTwice
	runThenRefuse
	neverRun
	refuse
)

// fakeServer is an entry instance and its plain service in memory.
type fakeServer struct {
	fault fakeFault
	took  time.Duration
	// goneAfter is how often executions can be asked for, if above zero.
	goneAfter int

	mu      sync.Mutex
	asked   int
	ran     map[uint64]int
	posted  []string
	headers []http.Header
}

func fakeAnswer(model, prompt string, maxTokens int) []string {
	tokens := make([]string, min(maxTokens, 5))
	for i := range tokens {
		tokens[i] = " " + strconv.FormatUint(xxhash.Sum64String(model+prompt)%1000+uint64(i), 10)
	}

	return tokens
}

// RoundTrip serves a request without a socket.
func (s *fakeServer) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}

	body, _ := io.ReadAll(r.Body)
	w := httptest.NewRecorder()

	s.mu.Lock()
	s.headers = append(s.headers, r.Header)
	s.mu.Unlock()

	switch {
	case r.URL.Path == executionsPath:
		if s.asked++; s.goneAfter > 0 && s.asked > s.goneAfter {
			return nil, merry.New("connection refused")
		}

		s.serveExecutions(w)
	case r.URL.Path == "/faults":
		s.posted = append(s.posted, string(body))
	case s.fault == silent:
		<-r.Context().Done()

		return nil, r.Context().Err()
	case s.fault == breakConnection:
		return nil, merry.New("connection reset")
	case r.URL.Path == chatPath:
		time.Sleep(s.took)
		s.serveChat(w, body)
	default:
		time.Sleep(s.took)
		s.servePlain(w, body)
	}

	return w.Result(), nil
}

func (s *fakeServer) serveChat(w http.ResponseWriter, body []byte) {
	request, err := chat.ParseRequest(body)
	if err != nil {
		refusal.New(refusal.BadRequest, "%v", err).Write(w)

		return
	}

	if s.fault == refuse {
		refusal.New(refusal.Overloaded, "full").WithRetryAfter(time.Second).Write(w)

		return
	}

	tokens := fakeAnswer(request.Model, request.Prompt(), request.MaxOutputTokens())

	switch s.fault {
	case wrongToken:
		tokens[0] = " other"
	case claimWhole:
		tokens = tokens[:len(tokens)-1]
	default:
	}

	if !request.Stream {
		_ = json.NewEncoder(w).Encode(chat.NewResponse(
			"id", request.Model, 0, strings.Join(tokens, ""), "stop", chat.Usage{CompletionTokens: len(tokens)}))

		return
	}

	s.stream(w, request.Model, tokens)
}

func (s *fakeServer) stream(w http.ResponseWriter, model string, tokens []string) {
	w.Header().Set("Content-Type", "text/event-stream")

	chunks := chat.NewChunkWriter("id", model, 0)

	var buf []byte
	for i, token := range tokens {
		buf = chunks.AppendToken(buf, nil, i, token)
	}

	if s.fault != cutStream {
		buf = chunks.AppendFinish(buf, "stop", nil)
	}

	_, _ = w.Write(buf)
}

func (s *fakeServer) servePlain(w http.ResponseWriter, body []byte) {
	times := 1

	switch s.fault {
	case runTwice:
		times = 2
	case neverRun:
		times = 0
	default:
	}

	s.mu.Lock()
	s.ran[xxhash.Sum64(body)] += times
	s.mu.Unlock()

	if s.fault == runThenRefuse {
		refusal.New(refusal.NoServer, "none").Write(w)

		return
	}

	_, _ = fmt.Fprint(w, "ok")
}

func (s *fakeServer) serveExecutions(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var e executions
	for digest, count := range s.ran {
		e.ByDigest = append(e.ByDigest, digestCount{Digest: digest, Count: count})
	}

	_ = json.NewEncoder(w).Encode(e)
}
