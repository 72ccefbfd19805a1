package dispatch

import (
	"context"

	"monsoonlever/answer"
	"monsoonlever/gateway"
)

// Models answers model requests.
type Models struct {
	Runner *answer.Runner
}

var _ gateway.ModelServer = (*Models)(nil)

// Answer relays one answer to its sink.
func (m *Models) Answer(ctx context.Context, r gateway.ModelRequest, sink answer.Sink) answer.Result {
	return m.Runner.Run(ctx, r.Answer, sink)
}
