package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"monsoonlever/buffer"
	"monsoonlever/clock"
)

// manyFields returns fields with different names.
func manyFields(n int) string {
	var b strings.Builder

	for i := range n {
		fmt.Fprintf(&b, "x%d:\r\n", i)
	}

	return b.String()
}

// Guards against headers whose parsed form takes far more memory than is reserved for it.
func TestHeaderTakesNoMoreMemoryThanReserved(t *testing.T) {
	const headers = 20

	for name, fields := range map[string]string{
		"many fields": manyFields(10_000), "one field many times": strings.Repeat("a:\r\n", 10_000), "one long field": "a: " + strings.Repeat("x", 60_000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			text := "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n"

			var size headerSize

			size.add([]byte(text))

			before := liveBytes()
			kept := make([]*http.Request, headers)

			for i := range kept {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				if err != nil {
					t.Fatal(err)
				}

				kept[i] = r
			}

			if got, want := (liveBytes()-before)/headers, size.memory(); got > want {
				t.Errorf("memory of a parsed header: got %d bytes, want at most the estimate of %d", got, want)
			}

			runtime.KeepAlive(kept)
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	runtime.GC()

	var m runtime.MemStats

	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}

// Guards against headers that each stay within their own limit and together exceed the memory of the
// process, and against a few of them that keep usual requests out.
func TestHeadersWithoutMemoryAreRefused(t *testing.T) {
	g := serveGuarded(t, func(g *Guard) {
		g.Max, g.Headers = 10, &buffer.Budget{Size: 1 << 20, ShareDivisor: 1}
	})

	unfinished := "GET / HTTP/1.1\r\nHost: a\r\n" + manyFields(2000)
	for range 3 {
		g.dial(unfinished)
	}

	refused := g.dial(unfinished + manyFields(2000))
	if refusal := refused.expectStatus(http.StatusServiceUnavailable); refusal.Header.Get("Retry-After") == "" {
		t.Error("refusal: got no Retry-After, want one")
	}

	close(g.release)
	g.dial(request).expectStatus(http.StatusOK)

	if got, want := g.Headers.Used(), g.Headers.Size; got > want {
		t.Errorf("memory in use: got %d, want at most %d", got, want)
	}
}

// Guards against memory that stays reserved after the requests that it was for.
func TestMemoryOfHeadersIsReleased(t *testing.T) {
	g := serveGuarded(t, func(g *Guard) { g.Headers = &buffer.Budget{Size: 1 << 20, ShareDivisor: 1} })
	close(g.release)

	c := g.dial("")
	for range 3 {
		c.send("GET / HTTP/1.1\r\nHost: a\r\n" + manyFields(2000) + "\r\n")

		if err := HoldHeader(<-g.served); err != nil && !errors.Is(err, buffer.ErrExhausted) {
			t.Errorf("hold header: got %v, want %v or none", err, buffer.ErrExhausted)
		}

		c.expectStatus(http.StatusOK)
	}

	_ = c.Close()

	for limit := time.Now().Add(5 * time.Second); g.Open() > 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}

	if got, want := g.Headers.Used(), int64(0); got != want {
		t.Errorf("memory in use: got %d, want %d", got, want)
	}
}

// Guards against a header over the limit whose refusal is lost, since the connection is reset.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	const limit = 8 << 10

	g := serveGuarded(t, func(g *Guard) { g.Limits = func() Limits { return Limits{HeaderBytes: limit} } })
	close(g.release)

	start := "GET / HTTP/1.1\r\nHost: a\r\nX: "
	g.dial(start + strings.Repeat("x", limit-len(start)-4) + "\r\n\r\n").expectStatus(http.StatusOK)
	g.dial(start + strings.Repeat("x", 64<<10)).expectStatus(http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against limits of rules that change nothing, and against those for one phase that hold in
// another.
func TestLimitsReplaceTimeoutsOfServer(t *testing.T) {
	const short = 200 * time.Millisecond

	for name, c := range map[string]struct {
		limits Limits
		kept   bool
	}{
		"header": {Limits{HeaderTimeout: short, IdleTimeout: time.Hour}, false},
		"idle":   {Limits{HeaderTimeout: time.Hour, IdleTimeout: short}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := serveGuarded(t, func(g *Guard) { g.Limits = func() Limits { return c.limits } })

			conn := g.dial("")
			if c.kept {
				conn.send(request)
				<-g.served
				// A request that is served has no deadline.
				time.Sleep(2 * short)
				close(g.release)
				conn.expectStatus(http.StatusOK)
			}

			conn.expectClosed()
		})
	}
}

// Guards against a request that is refused for lack of memory and runs as well: bytes of the next one
// may arrive between the end of its header and its handler.
func TestCompleteHeaderIsNotRefused(t *testing.T) {
	server, far := net.Pipe()

	defer server.Close()
	defer far.Close()

	g := &Guard{Clock: clock.NewManual(time.Unix(0, 0)), Max: 1, Headers: &buffer.Budget{Size: 1 << 20, ShareDivisor: 1}}
	c := &connection{Conn: server, guard: g, memory: g.Headers.Reserve()}
	c.awaitsRequest.Store(true)
	g.admit(c)

	read := func(text string) {
		t.Helper()

		go func() { _, _ = io.WriteString(far, text) }()

		if _, err := io.ReadFull(c, make([]byte, len(text))); err != nil {
			t.Fatalf("read: got %v, want no error", err)
		}
	}

	read(manyFields(1000))

	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}

	// Other requests take the rest of the budget.
	for g.Headers.Reserve().Resize(32<<10) == nil {
	}

	read("GET / HTTP/1.1\r\n" + manyFields(2000))
}
