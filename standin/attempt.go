package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"monsoonlever/backend"
)

// errCancelled is the cause of the end of an attempt that was cancelled.
var errCancelled = errors.New("attempt was cancelled")

// attempt is one attempt at an answer, running or ended.
type attempt struct {
	request backend.GenerateRequest
	prompt  []string
	cancel  context.CancelCauseFunc

	mu        sync.Mutex
	generated []string
	usage     backend.Usage
}

func newAttempt(r backend.GenerateRequest, cancel context.CancelCauseFunc) *attempt {
	prompt := strings.Fields(r.Prompt)

	return &attempt{
		request:   r,
		prompt:    prompt,
		cancel:    cancel,
		generated: slices.Clone(r.Generated),
		usage:     backend.Usage{PromptTokens: len(prompt)},
	}
}

// words returns the prompt and what is generated of its answer.
func (a *attempt) words() []string {
	a.mu.Lock()
	defer a.mu.Unlock()

	return slices.Concat(a.prompt, a.generated)
}

func (a *attempt) kv() kvCache {
	a.mu.Lock()
	defer a.mu.Unlock()

	return kvCache{
		Model:     a.request.Model,
		Prompt:    a.request.Prompt,
		Generated: slices.Clone(a.generated),
	}
}

func (a *attempt) add(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.generated = append(a.generated, token)
	a.usage.DecodedTokens++
}
