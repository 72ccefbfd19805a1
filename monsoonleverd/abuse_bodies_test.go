package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonlever/platform/soak"
)

// Guards against chunked bodies without an end.
func TestAbuseByEndlessChunks(t *testing.T) {
	for name, text := range map[string]string{
		"extension": "1;" + strings.Repeat("x", 16<<10), "trailer": "0\r\n" + strings.Repeat("a: b\r\n", 1<<12), "chunks of a byte": strings.Repeat("1\r\nx\r\n", 1<<12),
	} {
		t.Run(name, func(t *testing.T) {
			withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
				a.send(head(fmt.Sprint("a-", a.number), "Transfer-Encoding: chunked\r\n\r\n"))
				a.sendEndlessly(text)
			}})
		})
	}
}

// Guards against bodies that lack their last byte and together exceed the memory.
func TestAbuseByUnfinishedBodies(t *testing.T) {
	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999)))
	}})
}

// Guards against bodies that come byte by byte and hold every descriptor.
func TestAbuseByBodiesThatDrip(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 1000\r\n\r\n"))
		a.drip()
	}})
}

// Guards against clients that wait for 100 (Continue) and send no body.
func TestAbuseByExpectedContinue(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"))
	}})
}

// Guards against bodies that come so slowly that their requests have no end.
func TestBodyThatNeverEndsIsRefused(t *testing.T) {
	t.Parallel()

	p := soak.NewPlatform()
	defer p.Close()

	e := start(t, p)

	conn, err := net.Dial("tcp4", e.addresses.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()

	unfinished := strings.Replace(head("drip", "Content-Length: 1000000\r\n\r\n"), "Deadline-Ms: 10000", "Deadline-Ms: 500", 1)
	if err := sendParts(0, unfinished, "x")(conn); err != nil {
		t.Fatal(err)
	}

	if err := conn.SetReadDeadline(time.Now().Add(eventTimeout)); err != nil {
		t.Fatal(err)
	}

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	defer response.Body.Close()

	// The status promises that the request has not run.
	if got, want := response.StatusCode, http.StatusRequestTimeout; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}
