package backend

import (
	"context"
	"net/http"
)

// Call is a request to a plain service.
type Call struct {
	Method         string
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Reply is the complete response of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// PlainServer is a plain service on a backend server.
type PlainServer interface {
	// Do sends a call. Its error wraps ErrNotSent or ErrRefused if the call did not run. After
	// any other error, the call may have run.
	Do(ctx context.Context, c Call) (Reply, error)
	Load(ctx context.Context) (LoadReport, error)
}
