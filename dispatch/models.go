package dispatch

import (
	"context"

	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/gateway"
	"monsoonlever/retry"
)

// Models answers model requests whose answers end with their connection.
type Models struct {
	Clock  clock.Clock
	Runner *answer.Runner
	// Budget counts the requests that the Runner's retries are a share of.
	Budget *retry.Budget
}

var _ gateway.ModelServer = (*Models)(nil)

// Answer relays one answer to its sink.
func (m *Models) Answer(ctx context.Context, r gateway.ModelRequest, sink answer.Sink) answer.Result {
	m.Budget.CountRequest(m.Clock.Now())

	return m.Runner.Run(ctx, r.Answer, sink)
}
