package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/platform/soak"
)

// The tests in this file run one at a time and apart from other load, see .ci/test. Their names begin
// with TestAbuse.

const (
	// abuseMemoryMegabytes and abuseDescriptors are what the settings allow the instance.
	abuseMemoryMegabytes = 64
	abuseDescriptors     = 256
	// crowdBelowDescriptors and crowdAboveDescriptors are numbers of clients.
	crowdBelowDescriptors = 200
	crowdAboveDescriptors = 300
	// crowdTime is how long the clients of a crowd are connected.
	crowdTime = 4 * time.Second
	// crowdRedial is the pause of a client whose connection was closed.
	crowdRedial = 20 * time.Millisecond
	// abuseHeaderBytes is about the size of the largest header that an instance accepts.
	abuseHeaderBytes = 60 << 10
)

// crowd is a number of clients that each hold one connection.
type crowd struct {
	clients int
	// address is the address to which they connect; nil is that for callers.
	address func(soak.Addresses) string
	// run uses a connection until it is closed. It returns early if it has nothing left to do.
	run func(c *abuser)
	// hold keeps connections open after run has returned.
	hold bool
}

// abuser is one client of a crowd with its connection.
type abuser struct {
	net.Conn

	ctx context.Context //nolint:containedctx // ends with the crowd
	// number counts the connections of all clients of the crowd.
	number int64
}

// send writes text and reports whether the connection is still open.
func (a *abuser) send(text string) bool {
	_, err := io.WriteString(a, text)

	return err == nil && a.ctx.Err() == nil
}

// sendEndlessly writes a text again and again.
func (a *abuser) sendEndlessly(text string) {
	for a.send(text) {
	}
}

// drip writes a byte each 200 ms.
func (a *abuser) drip() {
	for a.send("x") {
		time.Sleep(200 * time.Millisecond)
	}
}

// discard reads until the connection is closed.
func (a *abuser) discard() { _, _ = io.Copy(io.Discard, a) }

// use connects again and again until ctx ends.
func (c crowd) use(ctx context.Context, address string, connections *atomic.Int64) {
	dialer := net.Dialer{Timeout: time.Second}

	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			time.Sleep(crowdRedial)

			continue
		}

		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		a := &abuser{Conn: conn, ctx: ctx, number: connections.Add(1)}

		c.run(a)

		if c.hold {
			a.discard()
		}

		stop()

		_ = conn.Close()

		time.Sleep(crowdRedial)
	}
}

// withstand runs a crowd against an instance and checks that the instance lives, that it stays within
// its memory and descriptors, and that it answers an ordinary request while the crowd is connected and
// once it has left.
func withstand(t *testing.T, c crowd) {
	t.Helper()

	p := soak.NewPlatform()
	defer p.Close()

	p.KeepNoRequests()
	p.SetClientLimits(soak.ClientLimits{HeaderBytes: 64 << 10, BodyBytes: 100_000, HeaderTimeoutMilliseconds: 5000, IdleMilliseconds: 15_000})

	e := launchProgram(t, p, buildProgram(t), filepath.Join(t.TempDir(), "settings.jsonc"), smallMachine)
	e.awaitReady(t, p)

	address := e.addresses.Callers
	if c.address != nil {
		address = c.address(e.addresses)
	}

	ctx, stop := context.WithCancel(t.Context())

	var (
		group           conc.WaitGroup
		connections     atomic.Int64
		mostDescriptors int
	)

	defer group.Wait()
	defer stop()

	for range c.clients {
		group.Go(func() { c.use(ctx, address, &connections) })
	}

	for began := time.Now(); time.Since(began) < crowdTime; time.Sleep(20 * time.Millisecond) {
		mostDescriptors = max(mostDescriptors, openDescriptors(t, e.command.Process.Pid))
	}

	e.expectAnswer(t, "beside")
	stop()
	group.Wait()
	e.expectAnswer(t, "afterwards")

	if e.hasExited() {
		t.Fatal("process: got an exit, want none")
	}

	t.Logf("peak memory %d MB, at most %d descriptors, %d connections", peakMemory(t, e.command.Process.Pid)>>20, mostDescriptors, connections.Load())

	if got, want := connections.Load(), int64(c.clients); got < want {
		t.Errorf("connections: got %d, want at least %d", got, want)
	}

	if got, want := peakMemory(t, e.command.Process.Pid), int64(abuseMemoryMegabytes<<20); got > want {
		t.Errorf("peak memory: got %d MB, want at most %d", got>>20, want>>20)
	}

	if got, want := mostDescriptors, abuseDescriptors; got > want {
		t.Errorf("descriptors: got %d, want at most %d", got, want)
	}
}

// smallMachine lowers the limits in settings.
func smallMachine(text []byte) []byte {
	return bytes.Replace(text, []byte(`"limits":{"fileDescriptors":1024,"memoryMegabytes":256,`),
		fmt.Appendf(nil, `"limits":{"fileDescriptors":%d,"memoryMegabytes":%d,`, abuseDescriptors, abuseMemoryMegabytes), 1)
}

// expectAnswer sends an ordinary request, again on a new connection where it isn't answered, until it
// is answered.
func (e *process) expectAnswer(t *testing.T, when string) {
	t.Helper()

	n := 0

	e.awaitCondition(t, "answer to an ordinary request "+when, func() bool {
		n++

		conn, err := net.DialTimeout("tcp4", e.addresses.Callers, time.Second)
		if err != nil {
			return false
		}
		defer conn.Close()

		id := fmt.Sprint("ordinary-", when, "-", n)

		return sendParts(0, head(id, "Content-Length: 0\r\n\r\n"))(conn) == nil && expectOK(conn) == nil
	})
}

// sendParts returns a function that writes parts with a pause between two of them.
func sendParts(pause time.Duration, parts ...string) func(net.Conn) error {
	return func(conn net.Conn) error {
		for n, part := range parts {
			if n > 0 {
				time.Sleep(pause)
			}

			if _, err := io.WriteString(conn, part); err != nil {
				return err
			}
		}

		return nil
	}
}

// expectOK reads a response and returns an error unless it is the whole one of a backend server.
func expectOK(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(eventTimeout / 4)); err != nil {
		return err
	}

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // the body is read below

	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || string(body) != "ok" {
		return errors.Join(fmt.Errorf("got status %d, body %q, want %d, ok", response.StatusCode, body, http.StatusOK), err)
	}

	return err
}

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()

	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatalf("descriptors of the process: got %v, want no error", err)
	}

	return len(entries)
}

// head returns a header without its end that would be forwarded.
func head(id, fields string) string {
	return "POST /safe/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nDeadline-Ms: 10000\r\nRequest-Id: " + id + "\r\n" + fields
}

// shortFields returns fields with different names of the given length in sum.
func shortFields(bytes int) string {
	var b strings.Builder

	for n := int64(0); ; n++ {
		// Names that begin with x are none of the platform's.
		field := "x" + strconv.FormatInt(n, 36) + ":\r\n"
		if b.Len()+len(field) > bytes {
			return b.String()
		}

		b.WriteString(field)
	}
}
