package answer

import (
	"context"

	"monsoonlever/fleet"
)

// ExportSource decides which KV caches leave a server that is reclaimed, in
// which order and whereto.
type ExportSource interface {
	// Target returns when it is the turn of an export. It returns false if the
	// cache is not to be exported.
	Target(ctx context.Context, r Request, e ExportKV) (ExportTurn, bool)
}

// ExportTurn is the permission to copy one KV cache.
type ExportTurn struct {
	Target fleet.InstanceID
	// Done is called once the copy has ended, one way or the other.
	Done func()
}
