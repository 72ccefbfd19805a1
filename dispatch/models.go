package dispatch

import (
	"context"

	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/gateway"
	"monsoonlever/retry"
)

// Models answers model requests whose answers end if their caller disconnects.
type Models struct {
	Clock  clock.Clock
	Runner *answer.Runner
	// Budget counts requests; the retries of Runner are limited to a share of them.
	Budget *retry.Budget
}

var _ gateway.ModelServer = (*Models)(nil)

// Answer generates one answer and relays it to the sink.
func (m *Models) Answer(ctx context.Context, r gateway.ModelRequest, sink answer.Sink) answer.Result {
	m.Budget.CountRequest(m.Clock.Now())

	return m.Runner.Run(ctx, r.Answer, sink)
}
