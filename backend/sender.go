package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// sender sends each request at most once and tells whether it left at all.
type sender struct {
	client http.Client
}

// newSender copies the client, since a redirect that it followed would be a
// second request.
func newSender(c *http.Client) sender {
	s := sender{client: *c}
	s.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}

	return s
}

// newRequest returns a request that the transport cannot send twice. It sends
// GET, and whatever has an Idempotency-Key, again when a reused connection
// breaks, but only where there is no body or GetBody can return another one.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	once := io.NopCloser(bytes.NewReader(body))

	req, err := http.NewRequestWithContext(ctx, method, url, once)
	if err != nil {
		return nil, merry.Prepend(err, "make request")
	}

	req.ContentLength = int64(len(body))

	return req, nil
}

// send returns an error that wraps ErrNotSent if no connection could be made.
func (s sender) send(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool

	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}

	resp, err := s.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}

	// Both signs are asked for: a round tripper of another make may not run the
	// hooks, and a dial may fail after an earlier connection was written to.
	if isDialError(err) && !connected.Load() {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	return nil, merry.Wrap(err)
}

func isDialError(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}
