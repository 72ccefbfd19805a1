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

// pipeListener accepts the far ends of pipes, which live on a bubble's time.
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

// servePipes runs test in a bubble against a server with the gateway's handler.
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
	// The server waits a moment before it closes a connection that it refused.
	time.Sleep(time.Second)
	synctest.Wait()
}

const chatHead = "POST " + PathChat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testSecret + "\r\n"

const streamBody = `{"model":"` + testModel + `","stream":true,"messages":[{"role":"user","content":"x"}]}`

func chatText(body string) string {
	return chatHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// slowModels makes a token a second, and notes how the answer ended.
type slowModels struct {
	tokens int

	mu   sync.Mutex
	gone bool
	end  time.Time
}

func (m *slowModels) Answer(ctx context.Context, _ ModelRequest, sink answer.Sink) answer.Result {
	defer func() {
		m.mu.Lock()
		m.end = time.Now()
		m.mu.Unlock()
	}()

	for i := range m.tokens {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}

		if ctx.Err() != nil || sink.Write(i, strings.Repeat("token ", 100)) != nil {
			m.mu.Lock()
			m.gone = true
			m.mu.Unlock()

			_ = sink.GiveUp(answer.GiveUp{Reason: answer.ReasonCallerGone, Ran: answer.PartlyRan})

			return answer.Result{}
		}
	}

	_ = sink.Complete(answer.Complete{Reason: "stop", Tokens: m.tokens, Usage: backend.Usage{PromptTokens: 1}})

	return answer.Result{}
}

func (m *slowModels) wasGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.gone
}

func TestAnswerLongerThanTheReadTimeoutIsWhole(t *testing.T) {
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

					go io.WriteString(conn, chatText(body))

					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						t.Fatalf("answer: got %v, want none", err)
					}

					text, err := io.ReadAll(resp.Body)
					if got, want := strings.Count(string(text), "token "), 100*100; err != nil || got != want {
						t.Errorf("tokens: got %d (%v), want %d", got, err, want)
					}
				})

				if models.wasGone() {
					t.Error("caller: got gone, want there")
				}
			})
		})
	}
}

func TestCallerWhoStopsReadingIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)
		models := &slowModels{tokens: 1000}
		g.Models = models

		servePipes(t, g, func(dial func() net.Conn) {
			conn := dial()
			defer conn.Close()

			io.WriteString(conn, chatText(streamBody))
			// One token, and then nothing is read any more.
			io.ReadFull(conn, make([]byte, 64))
			time.Sleep(time.Minute)
			synctest.Wait()

			if !models.wasGone() {
				t.Error("caller: got there, want gone after the write timeout")
			}

			wantMetric(t, g, `monsoonlever_callers_gone_total{cause="writeTimeout"} 1`)
		})
	})
}

func TestSlowRequestsAreBounded(t *testing.T) {
	tests := []struct {
		desc  string
		sent  string
		after time.Duration
		want  int
	}{
		{desc: "slow header", sent: chatHead, after: testHeaderTimeout},
		{desc: "slow body", sent: chatHead + "Content-Length: 100\r\n\r\n{", after: testBodyTimeout, want: http.StatusBadRequest},
		{desc: "huge header", sent: chatHead + "X-A: " + strings.Repeat("a", 10<<10) + "\r\n\r\n", want: http.StatusRequestHeaderFieldsTooLarge},
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
						t.Errorf("answer after: got %v, want %v", got, tt.after)
					}

					if tt.want == 0 {
						if err == nil {
							t.Errorf("answer: got %d, want a closed connection", resp.StatusCode)
						}

						return
					}

					if err != nil || resp.StatusCode != tt.want {
						t.Fatalf("answer: got %v (%v), want %d", resp, err, tt.want)
					}
				})
			})
		})
	}
}

// stuckPlain answers with more than a pipe takes.
type stuckPlain struct{}

func (stuckPlain) Call(context.Context, PlainRequest) (backend.Reply, *refusal.Refusal) {
	return backend.Reply{Status: http.StatusOK, Body: make([]byte, 1<<20)}, nil
}

func TestReplyThatIsNotReadIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)
		g.Plain = stuckPlain{}

		servePipes(t, g, func(dial func() net.Conn) {
			conn := dial()
			defer conn.Close()

			io.WriteString(conn, "GET /services/payrun-api/bank-files/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testSecret+"\r\n\r\n")
			time.Sleep(g.WriteTimeout + time.Second)
			synctest.Wait()

			rest, err := io.ReadAll(conn)
			if len(rest) >= 1<<20 {
				t.Errorf("reply: got %d bytes (%v) after the write timeout, want a cut", len(rest), err)
			}
		})
	})
}
