//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endlessAt is when a server sends bytes that are not a response, and endlessCase how long the
	// clients send requests.
	endlessAt   = 4 * time.Second
	endlessCase = 14 * time.Second
	// linkBytes is what a link of 1,000 Mbit/s carries in a second.
	linkBytes = 125_000_000
	// clientsPerInstance send one request after the other, each on a connection that it keeps; half of
	// them send notice-draft, the others bankfile-submit.
	clientsPerInstance = 32
	onceDeadline       = 1500 * time.Millisecond
	noticeDeadline     = 3 * time.Second
	clientPause        = 20 * time.Millisecond
	// lostAllowed is the number of requests of one machine that LOST allows.
	lostAllowed = 3
)

// playEndless has one model engine answer one request with bytes that are not a response, until the
// connection is closed. Clients meanwhile send requests to sound plain servers.
func playEndless(ctx context.Context, d *deployment) (string, error) {
	var (
		ran    sync.Map // id of a request: the server that ran it
		faults atomic.Int32
		faulty atomic.Value
		armed  atomic.Bool
	)

	for n, domain := range []string{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"} {
		for service, id := range map[string]string{"payrun-api": fmt.Sprintf("i-51c4e0a%d", n), "ledger-llm": fmt.Sprintf("i-7f3a91c%d", n)} {
			r := &runner{id: id, received: func(request string) { ran.Store(request, id) }}

			if service == "ledger-llm" {
				r.faulty = func(conn net.Conn, request string) bool {
					if !armed.Load() || !faults.CompareAndSwap(0, 1) {
						return false
					}

					faulty.Store(id)
					d.record.printf("%s answers %s with bytes that are not a response", id, request)
					d.record.printf("%s has sent %d MB of them when the connection closes", id, sendEndless(conn)>>20)

					return true
				}
			}

			if err := d.listenRunner(r, service, domain); err != nil {
				return "", err
			}
		}
	}

	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}

	var (
		group    sync.WaitGroup
		answered atomic.Int32
		mu       sync.Mutex
		lost     = make(map[string]int)
	)

	end := time.Now().Add(endlessCase)

	for _, at := range d.instances {
		for n := range clientsPerInstance {
			path, deadline, header := pathOnce, onceDeadline, ""
			if n%2 == 0 {
				path, deadline, header = pathNotice, noticeDeadline, streamHeader
			}

			group.Go(func() {
				c := &client{address: at.callers}
				defer c.close()

				for ; time.Now().Before(end); time.Sleep(clientPause) {
					r := c.send(ctx, path, deadline, header)

					server, passedOn := ran.Load(r.id)
					if r.status == 200 {
						answered.Add(1)
					}

					if r.status == 0 && r.kept && passedOn && server != faulty.Load() {
						d.record.printf("%s was sent to %s on a kept connection and run by %s, and has no answer: %v", r.id, at.name, server, r.err)
						mu.Lock()
						lost[at.name]++
						mu.Unlock()
					}
				}
			})
		}
	}

	time.Sleep(endlessAt)
	armed.Store(d.trouble)

	// One request of batch-recon meets the faulty server.
	c := &client{address: d.instances[0].callers}
	r := c.send(ctx, pathStream, 8*time.Second, streamHeader)
	c.close()
	d.record.printf("stream %s at %s: status %d, %d of %d events, ended as complete: %t, err %v",
		r.id, d.instances[0].name, r.status, len(r.events), streamEvents, r.complete, r.err)
	group.Wait()
	d.record.printf("%d requests were answered with 200", answered.Load())

	if answered.Load() == 0 {
		return "", errors.New("no request was answered")
	}

	for name, n := range lost {
		if n > lostAllowed {
			return fmt.Sprintf("LOST: %s passed %d requests from kept connections on to sound servers and closed these connections without an answer", name, n), nil
		}
	}

	return "", nil
}

// sendEndless writes bytes without the end of a line, at the rate of a link, until the connection is
// closed, and returns their number.
func sendEndless(conn net.Conn) int {
	const ticks = 100

	block, sent := bytes.Repeat([]byte{'x'}, linkBytes/ticks), 0

	for began := time.Now(); ; time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / linkBytes))) {
		n, err := conn.Write(block)
		if sent += n; err != nil {
			return sent
		}
	}
}

// listenRunner starts a backend server within this process.
func (d *deployment) listenRunner(r *runner, service, domain string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}

	go func() { _ = r.serve(listener) }()

	d.register(r.id, service, domain, listener.Addr().String(), nil)

	return nil
}
