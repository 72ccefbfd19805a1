package backend

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// The wire format of a plain service. A call is an HTTP request of the caller's
// making with its key in IdempotencyKeyHeader; a LoadReport is at LoadPath.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	LoadPath             = "/load"

	maxReplyBytes = 32 << 20
)

// ErrReplyTooLarge means that a plain service answered with more than is kept.
var ErrReplyTooLarge = errors.New("reply is too large")

// HTTPPlainServer is a client of a plain service on one backend server.
type HTTPPlainServer struct {
	baseURL string
	sender  sender
}

var _ PlainServer = (*HTTPPlainServer)(nil)

// NewHTTPPlainServer returns a client of the plain service at host:port.
func NewHTTPPlainServer(address string, c *http.Client) *HTTPPlainServer {
	return &HTTPPlainServer{baseURL: "http://" + address, sender: newSender(c)}
}

// Do sends a call at most once; see PlainServer for what its errors mean.
func (p *HTTPPlainServer) Do(ctx context.Context, c Call) (Reply, error) {
	req, err := newRequest(ctx, c.Method, p.baseURL+c.Path, c.Body)
	if err != nil {
		return Reply{}, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	if c.Header != nil {
		req.Header = c.Header.Clone()
	}

	if c.IdempotencyKey != "" {
		req.Header.Set(IdempotencyKeyHeader, c.IdempotencyKey)
	}

	resp, err := p.sender.send(req)
	if err != nil {
		return Reply{}, merry.Prepend(err, "call plain service")
	}
	defer resp.Body.Close() //nolint:errcheck // nothing is left to be read

	if notStarted(resp) {
		return Reply{}, merry.Prepend(errorOf(resp), "call plain service")
	}

	body, err := readReply(resp.Body)
	if err != nil {
		return Reply{}, merry.Prepend(err, "read reply of plain service")
	}

	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func readReply(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err != nil {
		return nil, merry.Wrap(err)
	}

	if len(body) > maxReplyBytes {
		return nil, merry.Wrap(ErrReplyTooLarge)
	}

	return body, nil
}

// Load returns what the backend server last said of its load.
func (p *HTTPPlainServer) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	if err := p.sender.exchange(ctx, http.MethodGet, p.baseURL+LoadPath, nil, &report); err != nil {
		return LoadReport{}, merry.Prepend(err, "read load of plain service")
	}

	return report, nil
}
