package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"monsoonlever/platform/soak"
)

// requestEnd ends the header of a request without a body.
const requestEnd = "Content-Length: 0\r\n\r\n"

// largestHead returns a header of the given size with as many fields as fit in.
func largestHead(bytes int) string {
	return head("large", shortFields(bytes-len(head("large", ""))-len(requestEnd))+requestEnd)
}

// Guards against limits that a single client within the limits of the rules meets in calm, on a small
// machine.
func TestSingleRequestsWithinLimitsAreServed(t *testing.T) {
	limits := soak.ClientLimits{HeaderBytes: 64 << 10, BodyBytes: 100_000, HeaderTimeoutMilliseconds: 5000, IdleMilliseconds: 15_000}
	e := startWithLimits(t, limits, smallMachine)

	for name, send := range map[string]func(net.Conn) error{
		"largest header of many fields": sendParts(0, largestHead(limits.HeaderBytes)),
		"header that comes slowly":      sendParts(time.Second, "POST /safe/ HTTP/1.1\r\n", "Host: a.example\r\n", "Authorization: Bearer key\r\n", "Request-Id: slow\r\n", requestEnd),
		"body that comes slowly":        sendParts(1500*time.Millisecond, head("body", "Content-Length: 4\r\n\r\n"), "a", "b", "c", "d"),
		"chunked body":                  sendParts(200*time.Millisecond, head("chunks", "Transfer-Encoding: chunked\r\n\r\n"), "1\r\nx\r\n", "2\r\nxx\r\n", "0\r\n\r\n"),
		"largest body":                  sendParts(0, head("large", fmt.Sprintf("Content-Length: %d\r\n\r\n", limits.BodyBytes)), strings.Repeat("x", limits.BodyBytes)),
		"idle connection": func(conn net.Conn) error {
			return errors.Join(
				sendParts(0, head("first", requestEnd))(conn), expectOK(conn),
				sendParts(time.Duration(limits.IdleMilliseconds)*time.Millisecond*4/5, "", head("second", requestEnd))(conn),
			)
		},
	} {
		t.Run(name, func(t *testing.T) { e.expectServed(t, send) })
	}
}

// Guards against rules that allow callers more than the defaults do and are not followed.
func TestRulesRaiseLimitsForCallers(t *testing.T) {
	const memoryMegabytes = 144

	limits := soak.ClientLimits{HeaderBytes: 200 << 10, HeaderTimeoutMilliseconds: 8000}
	e := startWithLimits(t, limits, func(text []byte) []byte {
		return bytes.Replace(text, []byte(`"memoryMegabytes":256`), fmt.Appendf(nil, `"memoryMegabytes":%d`, memoryMegabytes), 1)
	})

	for name, send := range map[string]func(net.Conn) error{
		"largest header of many fields": sendParts(0, largestHead(limits.HeaderBytes)),
		"header that comes slowly":      sendParts(1900*time.Millisecond, "POST /safe/ HTTP/1.1\r\n", "Host: a.example\r\n", "Authorization: Bearer key\r\n", "Request-Id: slow\r\n", requestEnd),
	} {
		t.Run(name, func(t *testing.T) { e.expectServed(t, send) })
	}
}

// startWithLimits starts an instance under rules with limits for callers and with changed settings.
func startWithLimits(t *testing.T, limits soak.ClientLimits, change func([]byte) []byte) *process {
	t.Helper()

	p := soak.NewPlatform()
	t.Cleanup(p.Close)
	p.SetClientLimits(limits)

	e := launchProgram(t, p, buildProgram(t), filepath.Join(t.TempDir(), "settings.jsonc"), change)
	e.awaitReady(t, p)

	return e
}

// expectServed sends a request on a new connection and checks that it is answered.
func (e *process) expectServed(t *testing.T, send func(net.Conn) error) {
	t.Helper()

	conn, err := net.Dial("tcp4", e.addresses.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()

	if err := send(conn); err != nil {
		t.Errorf("send: got %v, want no error", err)
	}

	if err := expectOK(conn); err != nil {
		t.Error(err)
	}
}
