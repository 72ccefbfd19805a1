package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/refusal"
)

const (
	testBodyTimeout   = 30 * time.Second
	testHeaderTimeout = 5 * time.Second
)

// pipeListener accepts the server ends of in-memory pipes, which follow the fake clock
// of a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far

	return near
}

// servePipes runs test against an HTTP server with the gateway's handler. It must be
// called in a synctest bubble.
func servePipes(t *testing.T, g *Gateway, test func(dial func() net.Conn)) {
	t.Helper()

	l := newPipeListener()
	server := &http.Server{
		Handler: g.Handler(), ReadHeaderTimeout: testHeaderTimeout, ReadTimeout: testBodyTimeout, MaxHeaderBytes: 4 << 10,
	}

	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()

	test(l.dial)

	if err := server.Close(); err != nil {
		t.Error(err)
	}

	<-done
	// The server delays the close of a connection whose request it rejected.
	time.Sleep(time.Second)
	synctest.Wait()
}

const chatHeader = "POST " + PathChat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testSecret + "\r\n"

const streamBody = `{"model":"` + testModel + `","stream":true,"messages":[{"role":"user","content":"x"}]}`

func chatRequest(body string) string {
	return chatHeader + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// slowModels generates one token per second and records how the answer ended.
type slowModels struct {
	tokens int

	mu         sync.Mutex
	callerGone bool
	endedAt    time.Time
}

func (m *slowModels) Answer(ctx context.Context, _ ModelRequest, sink answer.Sink) answer.Result {
	defer func() {
		m.mu.Lock()
		m.endedAt = time.Now()
		m.mu.Unlock()
	}()

	for i := range m.tokens {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}

		if ctx.Err() != nil || sink.Write(i, strings.Repeat("token ", 100)) != nil {
			m.mu.Lock()
			m.callerGone = true
			m.mu.Unlock()

			_ = sink.GiveUp(answer.GiveUp{Reason: answer.ReasonCallerGone, Ran: answer.PartlyRan})

			return answer.Result{}
		}
	}

	_ = sink.Complete(answer.Complete{Reason: "stop", Tokens: m.tokens, Usage: backend.Usage{PromptTokens: 1}})

	return answer.Result{}
}

func (m *slowModels) sawCallerGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.callerGone
}

func TestAnswerMayOutlastReadTimeout(t *testing.T) {
	for _, desc := range []string{"streamed", "whole"} {
		t.Run(desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGateway(t)
				models := &slowModels{tokens: 100}
				g.Models = models

				servePipes(t, g, func(dial func() net.Conn) {
					conn := dial()
					defer conn.Close()

					body := streamBody
					if desc == "whole" {
						body = strings.Replace(body, "true", "false", 1)
					}

					go io.WriteString(conn, chatRequest(body))

					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						t.Fatalf("read response: got %v, want no error", err)
					}

					text, err := io.ReadAll(resp.Body)
					if got, want := strings.Count(string(text), "token "), 100*100; err != nil || got != want {
						t.Errorf("tokens: got %d (%v), want %d", got, err, want)
					}
				})

				if models.sawCallerGone() {
					t.Error("caller: got disconnected, want connected")
				}
			})
		})
	}
}

func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)
		models := &slowModels{tokens: 1000}
		g.Models = models

		servePipes(t, g, func(dial func() net.Conn) {
			conn := dial()
			defer conn.Close()

			io.WriteString(conn, chatRequest(streamBody))
			// Reads the start of the response and then stops reading.
			io.ReadFull(conn, make([]byte, 64))
			time.Sleep(time.Minute)
			synctest.Wait()

			if !models.sawCallerGone() {
				t.Error("caller: got connected, want disconnected after the write timeout")
			}

			wantMetric(t, g, `monsoonlever_callers_gone_total{cause="writeTimeout"} 1`)
		})
	})
}

func TestSlowAndOversizedRequestsAreRejected(t *testing.T) {
	tests := []struct {
		desc  string
		sent  string
		after time.Duration
		want  int
	}{
		{desc: "slow header", sent: chatHeader, after: testHeaderTimeout},
		{desc: "slow body", sent: chatHeader + "Content-Length: 100\r\n\r\n{", after: testBodyTimeout, want: http.StatusBadRequest},
		{desc: "oversized header", sent: chatHeader + "X-A: " + strings.Repeat("a", 10<<10) + "\r\n\r\n", want: http.StatusRequestHeaderFieldsTooLarge},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGateway(t)

				servePipes(t, g, func(dial func() net.Conn) {
					conn := dial()
					defer conn.Close()

					start := time.Now()
					go io.WriteString(conn, tt.sent)

					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if got := time.Since(start); got < tt.after || got > tt.after+time.Second {
						t.Errorf("response after: got %v, want %v", got, tt.after)
					}

					if tt.want == 0 {
						if err == nil {
							t.Errorf("response: got %d, want a closed connection", resp.StatusCode)
						}

						return
					}

					if err != nil || resp.StatusCode != tt.want {
						t.Fatalf("response: got %v (%v), want %d", resp, err, tt.want)
					}
				})
			})
		})
	}
}

// largePlain returns a reply that is larger than the buffers of a connection.
type largePlain struct{}

func (largePlain) Call(context.Context, PlainRequest) (backend.Reply, *refusal.Refusal) {
	return backend.Reply{Status: http.StatusOK, Body: make([]byte, 1<<20)}, nil
}

func TestUnreadReplyIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)
		g.Plain = largePlain{}

		servePipes(t, g, func(dial func() net.Conn) {
			conn := dial()
			defer conn.Close()

			io.WriteString(conn, "GET /services/payrun-api/bank-files/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testSecret+"\r\n\r\n")
			time.Sleep(g.WriteTimeout + time.Second)
			synctest.Wait()

			rest, err := io.ReadAll(conn)
			if len(rest) >= 1<<20 {
				t.Errorf("reply: got %d bytes (%v) after the write timeout, want a truncated reply", len(rest), err)
			}
		})
	})
}

// detachedPlain continues a call for a minute after its caller has disconnected, as
// non-idempotent calls do.
type detachedPlain struct {
	started chan struct{}
	ended   chan struct{}
}

func (p detachedPlain) Call(ctx context.Context, _ PlainRequest) (backend.Reply, *refusal.Refusal) {
	close(p.started)
	<-ctx.Done()
	time.Sleep(time.Minute)
	close(p.ended)

	return backend.Reply{Status: http.StatusOK}, nil
}

func TestCallContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)
		plain := detachedPlain{started: make(chan struct{}), ended: make(chan struct{})}
		g.Plain = plain

		servePipes(t, g, func(dial func() net.Conn) {
			conn := dial()
			go io.WriteString(conn, "POST /services/payrun-api/bank-files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
				testSecret+"\r\nIdempotency-Key: key-1\r\nContent-Length: 1\r\n\r\nx")

			<-plain.started
			conn.Close()
			<-plain.ended
			synctest.Wait()

			wantMetric(t, g, `monsoonlever_callers_gone_total{cause="disconnected"} 1`)
			wantMetric(t, g, `monsoonlever_requests_open 0`)
		})
	})
}
