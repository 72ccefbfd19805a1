// Package dispatch answers admitted requests: it joins routing, retries, the
// relay of model answers, and the claims of calls that may not be repeated.
//
// # Usage
//
//	models := &dispatch.Models{Clock: c, Manifest: m, Table: table, Runner: runner}
//	plain := &dispatch.Plain{Clock: c, Table: table, Directory: directory, Claims: keeper}
package dispatch

import (
	"context"
	"errors"
	"io"
	"net"

	"monsoonlever/backend"
	"monsoonlever/routing"
)

// failureOf tells the routing table how a call failed.
func failureOf(err error) routing.Failure {
	var timeout net.Error

	switch {
	case errors.Is(err, backend.ErrNotSent):
		return routing.FailDial
	case errors.Is(err, backend.ErrRefused):
		return routing.FailRefused
	case errors.Is(err, context.Canceled):
		return routing.FailCancelled
	case errors.Is(err, context.DeadlineExceeded):
		return routing.FailTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return routing.FailTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return routing.FailReset
	default:
		return routing.FailServer
	}
}
