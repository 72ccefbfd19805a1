package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
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
	client *httpclient.Client
}

var _ PlainServer = (*HTTPPlainServer)(nil)

// NewHTTPPlainServer returns a client of the plain service at host:port.
func NewHTTPPlainServer(address string, c *http.Client) *HTTPPlainServer {
	return &HTTPPlainServer{client: httpclient.New("http://"+address, c)}
}

// Do sends a call at most once; see PlainServer for what its errors mean.
func (p *HTTPPlainServer) Do(ctx context.Context, c Call) (Reply, error) {
	resp, err := p.client.Send(ctx, c.Method, c.Path, requestHeader(c), c.Body)
	if err != nil {
		return Reply{}, merry.Prepend(classifyError(err), "call plain service")
	}
	defer resp.Body.Close() //nolint:errcheck // nothing is left to be read

	if isNotStarted(resp.StatusCode, resp.Header.Get(ExecutionHeader)) {
		return Reply{}, merry.Prepend(classifyError(httpclient.NewStatusError(resp)), "call plain service")
	}

	body, err := httpclient.ReadBody(resp.Body, maxReplyBytes)
	if errors.Is(err, httpclient.ErrResponseTooLarge) {
		return Reply{}, merry.Prepend(ErrReplyTooLarge, "call plain service")
	}

	if err != nil {
		return Reply{}, merry.Prepend(err, "read reply of plain service")
	}

	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// requestHeader returns a header of the call's own, since the caller may use his again.
func requestHeader(c Call) http.Header {
	header := c.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}

	if c.IdempotencyKey != "" {
		header.Set(IdempotencyKeyHeader, c.IdempotencyKey)
	}

	return header
}

// Load returns what the backend server last said of its load.
func (p *HTTPPlainServer) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	if err := p.client.Get(ctx, LoadPath, &report); err != nil {
		return LoadReport{}, merry.Prepend(classifyError(err), "read load of plain service")
	}

	return report, nil
}
