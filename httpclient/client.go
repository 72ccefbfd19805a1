package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

const (
	maxResponseBytes = 64 << 20
	// maxDiscardedBytes bounds a body that is read only so that its connection can be reused.
	maxDiscardedBytes = 64 << 10
)

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrResponseTooLarge means that a response body is over the size limit.
	ErrResponseTooLarge = errors.New("response is too large")
)

// Client sends requests to one server.
type Client struct {
	baseURL string
	client  http.Client
}

// New returns a client of the server at a base URL. The client uses a copy of c that does not
// follow redirects.
func New(baseURL string, c *http.Client) *Client {
	client := &Client{baseURL: baseURL, client: *c}
	client.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}

	return client
}

// Send sends a request at most once. It returns the response for any status.
func (c *Client) Send(
	ctx context.Context, method, path string, header http.Header, body []byte,
) (*http.Response, error) {
	// A NopCloser prevents NewRequestWithContext from setting GetBody, which the transport
	// needs to resend a body.
	singleUseBody := io.NopCloser(bytes.NewReader(body))

	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, singleUseBody)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	req.ContentLength = int64(len(body))

	if header != nil {
		req.Header = header
	}

	return c.do(req)
}

// Get sends an idempotent request, which the transport may resend, and decodes the response
// into result.
func (c *Client) Get(ctx context.Context, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	resp, err := c.do(req)
	if err != nil {
		return err
	}

	return decode(resp, result)
}

// Post sends a message at most once. It decodes the response into result unless result is nil.
func (c *Client) Post(ctx context.Context, path string, message, result any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	return c.PostBytes(ctx, path, body, result)
}

// PostBytes is Post for a message that is already encoded.
func (c *Client) PostBytes(ctx context.Context, path string, body []byte, result any) error {
	resp, err := c.Send(ctx, http.MethodPost, path, nil, body)
	if err != nil {
		return err
	}

	return decode(resp, result)
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool

	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}

	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}

	// Both conditions are needed: a custom round tripper may not call the trace hooks, and a
	// dial may fail after the request was written to an earlier connection.
	if isDialError(err) && !connected.Load() {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	return nil, merry.Wrap(err)
}

func isDialError(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}

// decode decodes a response into result unless result is nil, and closes the response body.
func decode(resp *http.Response, result any) error {
	defer resp.Body.Close() //nolint:errcheck // the body has been read

	if resp.StatusCode >= http.StatusMultipleChoices {
		return merry.Wrap(NewStatusError(resp))
	}

	if result == nil {
		_, err := ReadBody(resp.Body, maxDiscardedBytes)

		return merry.Prepend(err, "read response")
	}

	body, err := ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return merry.Prepend(err, "read response")
	}

	if err := json.Unmarshal(body, result); err != nil {
		return merry.Prepend(err, "decode response")
	}

	return nil
}

// ReadBody reads a body of up to limit bytes. The error wraps ErrResponseTooLarge if the body
// is longer.
func ReadBody(r io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, merry.Wrap(err)
	}

	if len(body) > limit {
		return nil, merry.Wrap(ErrResponseTooLarge)
	}

	return body, nil
}
