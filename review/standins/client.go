//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+attempts.Add(1)) }

// client is a client with one connection, which it keeps for many requests.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// sent counts the requests on the connection.
	sent int
}

// result is what a client got for one request.
type result struct {
	id string
	// kept is set if the connection had carried a request before.
	kept   bool
	status int
	// complete is set if the response ended as a whole one does.
	complete bool
	// events are the ids of the received events.
	events []int
	err    error
}

// send sends one request and reads its response.
func (c *client) send(ctx context.Context, path string, deadline time.Duration, header string) result {
	r := result{id: newID()}

	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", c.address)
		if err != nil {
			r.err = err

			return r
		}

		c.conn, c.reader, c.sent = conn, bufio.NewReader(conn), 0
	}

	r.kept = c.sent > 0
	c.sent++

	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	body := "{}"
	_, r.err = fmt.Fprintf(c.conn, "POST %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, host, r.id, deadline.Milliseconds(), apiKey, header, len(body), body)

	if r.err == nil {
		r.err = c.receive(&r)
	}

	if r.err != nil {
		c.close()
	}

	return r
}

func (c *client) receive(r *result) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()

	r.status = response.StatusCode
	lines := bufio.NewReader(response.Body)

	for {
		line, err := lines.ReadString('\n')

		if number, isID := strings.CutPrefix(strings.TrimSpace(line), "id:"); isID {
			id, _ := strconv.Atoi(strings.TrimSpace(number)) // a malformed id is out of order
			r.events = append(r.events, id)
		}

		if errors.Is(err, io.EOF) {
			r.complete = true

			if response.Close {
				c.close()
			}

			return nil
		}

		if err != nil {
			return err
		}
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// streamHeader describes a prompt of batch-recon.
const streamHeader = "Model: m\r\nToken-Usage: 1460,380\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
