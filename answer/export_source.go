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
	Target(ctx context.Context, r Request, e ExportKV) (fleet.InstanceID, bool)
}
