package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"pgregory.net/rapid"

	"monsoonlever/clock"
)

// guarded is an HTTP server behind a guard on loopback.
type guarded struct {
	*Guard

	t       *testing.T
	address string
	// served receives each request that reaches the handler, which then waits for release.
	served  chan *http.Request
	release chan struct{}
}

// serveGuarded starts a server whose guard is changed by change.
func serveGuarded(t *testing.T, change func(*Guard)) *guarded {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	g := &guarded{
		Guard: &Guard{Clock: clock.NewSteady(), Max: 2, Counters: NewCounters(metrics.NewSet(), "test")},
		t:     t, address: l.Addr().String(), served: make(chan *http.Request, 10), release: make(chan struct{}),
	}
	change(g.Guard)

	server := &http.Server{
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			g.served <- r
			_, _ = io.Copy(io.Discard, r.Body)
			<-g.release
		}),
	}
	guardedListener := g.Protect(server, l)
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = server.Serve(guardedListener)
	}()

	t.Cleanup(func() { _ = server.Close(); <-done })

	return g
}

// await waits until a number of connections is in a phase.
func (g *guarded) await(p phase, want int) {
	g.t.Helper()

	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if g.count(p) == want {
			return
		}
	}

	g.t.Fatalf("connections in phase %d: got %d, want %d", p, g.count(p), want)
}

// count returns the number of connections in a phase.
func (g *Guard) count(p phase) int {
	g.mu.Lock()
	defer g.mu.Unlock()

	n := 0
	for c := g.phases[p].front; c != nil; c = c.next {
		n++
	}

	return n
}

// client is a connection to a guarded server.
type client struct {
	net.Conn

	t      *testing.T
	reader *bufio.Reader
}

func (g *guarded) dial(text string) *client {
	g.t.Helper()

	conn, err := net.Dial("tcp4", g.address)
	if err != nil {
		g.t.Fatal(err)
	}

	g.t.Cleanup(func() { _ = conn.Close() })

	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		g.t.Fatal(err)
	}

	c := &client{Conn: conn, t: g.t, reader: bufio.NewReader(conn)}
	c.send(text)

	return c
}

func (c *client) send(text string) {
	c.t.Helper()

	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: got %v, want no error", err)
	}
}

// expectStatus reads a response.
func (c *client) expectStatus(want int) *http.Response {
	c.t.Helper()

	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("response: got %v, want status %d", err, want)
	}

	_, _ = io.Copy(io.Discard, response.Body)

	if got := response.StatusCode; got != want {
		c.t.Errorf("status: got %d, want %d", got, want)
	}

	return response
}

// expectClosed waits until the server has closed the connection.
func (c *client) expectClosed() {
	c.t.Helper()

	if text, err := io.ReadAll(c.reader); len(text) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
		c.t.Errorf("got %q, %v, want a closed connection", text, err)
	}
}

const (
	request      = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	withheldBody = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
)

// Guards against connections without a request that keep all others out.
func TestLongestWaitingConnectionIsClosedForNewOne(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want phase
	}{
		"silent": {"", phaseIdle}, "unfinished header": {"GET /", phaseHeader}, "unfinished body": {withheldBody, phaseBody},
	} {
		t.Run(name, func(t *testing.T) {
			g := serveGuarded(t, func(*Guard) {})
			close(g.release)

			first := g.dial(request)
			first.expectStatus(http.StatusOK)
			first.send(c.text)
			g.await(c.want, 1)
			g.dial(c.text)
			g.await(c.want, 2)

			third := g.dial(request)
			first.expectClosed()
			third.expectStatus(http.StatusOK)
		})
	}
}

// Guards against a request that is cut, or a new one that hangs, where all connections carry requests.
func TestConnectionsWithRequestsAreKept(t *testing.T) {
	g := serveGuarded(t, func(*Guard) {})
	first, second := g.dial(request), g.dial(request)

	<-g.served
	<-g.served

	third := g.dial(request)
	if refusal := third.expectStatus(http.StatusServiceUnavailable); refusal.Header.Get("Retry-After") == "" {
		t.Error("refusal: got no Retry-After, want one")
	}

	third.expectClosed()
	close(g.release)
	first.expectStatus(http.StatusOK)
	second.expectStatus(http.StatusOK)
}

// Guards against connections that are counted twice or never again, by which a guard would close or
// refuse all others.
func TestHoldsGuardCountsConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Guard{Clock: clock.NewManual(time.Unix(0, 0)), Max: rapid.IntRange(1, 5).Draw(t, "max")}

		var admitted []*connection

		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			if len(admitted) == 0 || rapid.Bool().Draw(t, "admit") {
				c := &connection{guard: g}
				if _, ok := g.admit(c); ok {
					admitted = append(admitted, c)
				}
			} else {
				c := rapid.SampledFrom(admitted).Draw(t, "connection")

				if p := phase(rapid.IntRange(int(phaseNone), int(phaseCount)-1).Draw(t, "phase")); p == phaseNone {
					g.forget(c)
				} else {
					g.enter(c, p)
				}
			}

			open := 0

			for _, c := range admitted {
				if c.phase != phaseNone {
					open++
				}
			}

			listed := 0

			for p := range g.phases {
				listed += g.count(phase(p))
			}

			if got := g.Open(); got != open || listed != open || got > g.Max {
				t.Fatalf("got %d open and %d listed, want %d of at most %d", got, listed, open, g.Max)
			}
		}
	})
}
