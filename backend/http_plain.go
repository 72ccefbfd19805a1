package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
)

// The wire format of a plain service. A call is the caller's HTTP request with its idempotency
// key in IdempotencyKeyHeader. A GET of LoadPath returns a LoadReport.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	LoadPath             = "/load"

	maxReplyBytes = 32 << 20
)

// ErrReplyTooLarge means that the reply of a plain service is over the size limit.
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

// Do sends a call at most once. PlainServer documents its errors.
func (p *HTTPPlainServer) Do(ctx context.Context, c Call) (Reply, error) {
	resp, err := p.client.Send(ctx, c.Method, c.Path, requestHeader(c), c.Body)
	if err != nil {
		return Reply{}, merry.Prepend(classifyError(err), "call plain service")
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read

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

// requestHeader returns a copy of the call's header with the idempotency key. The copy leaves
// the caller's header unchanged.
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

// Load returns the load that the backend server last reported.
func (p *HTTPPlainServer) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	if err := p.client.Get(ctx, LoadPath, &report); err != nil {
		return LoadReport{}, merry.Prepend(classifyError(err), "read load of plain service")
	}

	return report, nil
}
