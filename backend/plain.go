package backend

import (
	"context"
	"net/http"
)

// Call is one call of a plain service.
type Call struct {
	Method         string
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// PlainServer is a plain service on a backend server.
type PlainServer interface {
	// Do returns an error that wraps ErrNotSent or ErrRefused where the call
	// certainly did not run. Any other error leaves that unknown.
	Do(ctx context.Context, c Call) (Reply, error)
	Load(ctx context.Context) (LoadReport, error)
}
