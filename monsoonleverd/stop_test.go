package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"monsoonlever/platform/soak"
	"monsoonlever/platform/standin"
)

// stopOutcome is what became of a request that was sent after a stop signal.
type stopOutcome struct {
	sentAfter time.Duration
	// status is zero if the connection ended without a response.
	status     int
	retryAfter string
	// ran is set if a backend server had the request.
	ran bool
}

// requestOnce sends an unsafe request on a new connection. It reports false if none was accepted.
func requestOnce(address, id string) (stopOutcome, bool) {
	var o stopOutcome

	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return o, false
	}
	defer conn.Close()

	if _, err := fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nbody", id); err != nil {
		return o, true
	}

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return o, true
	}

	_ = response.Body.Close()
	o.status, o.retryAfter = response.StatusCode, response.Header.Get("Retry-After")

	return o, true
}

// Guards against requests that are cut without an answer at the end of a planned stop, among them ones
// that may not be repeated: they were taken late in the stop although they could not end in it.
func TestPlannedStopAnswersEachRequest(t *testing.T) {
	t.Parallel()

	const (
		callers  = 6
		interval = 100 * time.Millisecond
		workTime = 3 * time.Second
		// lastUseful is how long after the signal a request with that work may be taken, in a stop of
		// four seconds.
		lastUseful = time.Second
	)

	var ran sync.Map

	p := soak.NewPlatform()
	defer p.Close()

	p.SetBehaviour(func(w http.ResponseWriter, r *http.Request, received standin.ReceivedRequest) {
		ran.Store(received.ID, true)
		time.Sleep(workTime)
		standin.Respond(http.StatusOK, "ok")(w, r, received)
	})

	e := start(t, p)

	var (
		mu       sync.Mutex
		outcomes []stopOutcome
		sending  sync.WaitGroup
	)

	send := func(id string, sentAfter time.Duration) bool {
		o, accepted := requestOnce(e.addresses.Callers, id)
		o.sentAfter = sentAfter
		_, o.ran = ran.Load(id)

		mu.Lock()
		defer mu.Unlock()

		if accepted {
			outcomes = append(outcomes, o)
		}

		return accepted
	}

	// The instance learns how long such requests take.
	for n := range callers {
		sending.Go(func() { send(fmt.Sprint("before-", n), 0) })
	}

	sending.Wait()
	e.signal(t, syscall.SIGTERM)

	signalled := time.Now()

	for caller := range callers {
		sending.Go(func() {
			var open sync.WaitGroup
			defer open.Wait()

			for n := 0; !e.hasExited() && time.Since(signalled) < eventTimeout; n++ {
				open.Go(func() { send(fmt.Sprint("stop-", caller, "-", n), time.Since(signalled)) })
				time.Sleep(interval)
			}
		})
	}

	sending.Wait()
	e.expectCleanExit(t)

	rejected := 0

	for _, o := range outcomes {
		switch {
		case o.status == 0 && o.ran:
			t.Errorf("request sent %v after the signal: got no answer, want one: a server had it", o.sentAfter)
		case o.status == http.StatusServiceUnavailable:
			rejected++

			if o.ran || strings.TrimSpace(o.retryAfter) == "" {
				t.Errorf("request sent %v after the signal: got status %d with ran %v and Retry-After %q, want one that did not run", o.sentAfter, o.status, o.ran, o.retryAfter)
			}
		case o.ran && o.status != http.StatusOK && o.sentAfter > lastUseful:
			t.Errorf("request sent %v after the signal: got status %d from a server, want a rejection", o.sentAfter, o.status)
		}
	}

	if rejected == 0 {
		t.Error("rejected requests: got none, want some")
	}
}
