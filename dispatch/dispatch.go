// Package dispatch answers admitted requests. It combines routing, retries, the relay
// of model answers, and the claims of non-idempotent calls.
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

// failureOf classifies the error of a call for the routing table.
func failureOf(err error) routing.Failure {
	var timeout net.Error

	// Cancellation and deadline are checked first: a dial that this side cancelled is no
	// failure of the server.
	switch {
	case errors.Is(err, context.Canceled):
		return routing.FailCancelled
	case errors.Is(err, context.DeadlineExceeded):
		return routing.FailTimeout
	case errors.Is(err, backend.ErrNotSent):
		return routing.FailDial
	case errors.Is(err, backend.ErrRefused):
		return routing.FailRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return routing.FailTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return routing.FailReset
	default:
		return routing.FailServer
	}
}
