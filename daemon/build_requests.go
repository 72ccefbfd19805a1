package daemon

import (
	"time"

	"github.com/google/uuid"

	"monsoonlever/answer"
	"monsoonlever/dispatch"
	"monsoonlever/gateway"
	"monsoonlever/retry"
)

const (
	// writeTimeout bounds one write to a caller; a slower caller is cut.
	writeTimeout = 30 * time.Second
	// cancelTimeout bounds a call that cancels an attempt.
	cancelTimeout = 2 * time.Second
	// fetchEvery and fetchTries bound the questions to other instances for an
	// answer that is not held here.
	fetchEvery = 100 * time.Millisecond
	fetchTries = 50
	// copyTimeout bounds the wait for a copy in another failure domain.
	copyTimeout = 2 * time.Second
	// followerGrace is how long a streamed answer goes on without its caller.
	followerGrace = 5 * time.Second
	// plainAttempts bounds the backend servers that one call is sent to.
	plainAttempts = 4
	// answerRetryShare and answerRetryLeast bound the further attempts at answers
	// of which their callers have nothing yet. The loss of a failure domain
	// without notice takes a quarter of them at once.
	answerRetryShare = 0.5
	answerRetryLeast = 20
)

// buildRequests makes the path of a request.
func (p *parts) buildRequests() {
	budgets := retry.NewBudgets(retry.BudgetPolicy{})
	answers := retry.NewBudgets(retry.BudgetPolicy{Share: answerRetryShare, MinRetries: answerRetryLeast}).Of(retry.Scope{})

	p.runner = &answer.Runner{
		Clock:         p.clock,
		Picker:        &dispatch.Picker{Clock: p.clock, Manifest: p.manifest, Table: p.table},
		Engines:       p.directory,
		Budget:        answers,
		Limits:        answer.DefaultLimits(),
		Leaving:       p.leaving,
		Exports:       p.desk,
		CancelTimeout: cancelTimeout,
	}
	p.replicator = &answer.Replicator{
		Clock: p.clock,
		Store: &answer.Store{
			Self: answer.Member{
				ID: p.settings.Instance, Incarnation: p.incarnation, Domain: p.settings.FailureDomain,
			},
			Policy: answer.DefaultStorePolicy(),
		},
		FetchEvery: fetchEvery,
		FetchTries: fetchTries,
	}
	p.answers = &dispatch.Answers{
		Clock: p.clock, Replicator: p.replicator, Runner: p.runner, Budget: answers,
		CopyTimeout: copyTimeout, GracePeriod: followerGrace,
	}
	p.replicator.Register(p.metrics)
	p.replicator.Continue = p.answers.Continue
	p.replicator.Stop = p.answers.Stop
	p.replicator.Followed = p.answers.MarkFollowed
	p.replicator.Sender = noPeers{}
	p.gateway = &gateway.Gateway{
		Clock:     p.clock,
		Manifest:  p.manifest,
		Admission: p.admission,
		Models:    &dispatch.Models{Clock: p.clock, Runner: p.runner, Budget: answers},
		Plain: &dispatch.Plain{
			Clock: p.clock, Table: p.table, Directory: p.directory, Claims: p.claims,
			Retry: &retry.Policy{Budgets: budgets, MaxAttempts: plainAttempts, Metrics: p.metrics},
		},
		Retained:     p.answers,
		Observer:     &observer{clock: p.clock, recorder: p.recorder},
		NewID:        newRequestID,
		MaxBodyBytes: p.settings.Limits.MaxBodyBytes,
		WriteTimeout: writeTimeout,
		Metrics:      p.metrics,
	}
}

// newRequestID returns an id that sorts by time and holds no dot.
func newRequestID() answer.RequestID {
	return answer.RequestID(uuid.Must(uuid.NewV7()).String())
}
