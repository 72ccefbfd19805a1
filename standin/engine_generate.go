package standin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// errStreamCut ends a stream by a fault.
var errStreamCut = errors.New("stream is cut by a fault")

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[backend.GenerateRequest](r)
	if err != nil {
		return err
	}

	if err := e.check(request); err != nil {
		return err
	}

	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)

	if err := e.Faults.Enter(ctx); err != nil {
		return err
	}

	if err := e.checkReady(request.Model); err != nil {
		return err
	}

	a := newAttempt(request, cancel)
	e.remember(a)

	if err := e.slots.acquire(ctx, request.Priority); err != nil {
		return err
	}
	defer e.slots.release()

	out := newEventWriter(w, request.Attempt, e.Faults.nextStream())
	err = e.run(ctx, a, out)

	if errors.Is(err, errStreamCut) && out.fault.kind == TruncateStream {
		return nil
	}

	if err != nil {
		panic(http.ErrAbortHandler)
	}

	return nil
}

// check refuses a continuation that is not of the engine's own answer.
func (e *Engine) check(r backend.GenerateRequest) error {
	if r.Attempt == "" {
		return merry.Prepend(errBadRequest, "attempt is not named")
	}

	model := string(r.Model)
	if len(r.Generated) > answerTokens(model, r.Prompt, r.MaxTokens) {
		return merry.Prepend(errBadRequest, "more is generated than the answer has")
	}

	for i, token := range r.Generated {
		if token != ExpectedToken(model, r.Prompt, i) {
			return merry.Prependf(errBadRequest, "generated token %d is not of the answer", i)
		}
	}

	return nil
}

func (e *Engine) checkReady(model fleet.Model) error {
	if e.Faults.Refuses() {
		return merry.Prepend(errNotStarted, "drained")
	}

	state := e.State()
	if !state.Ready || state.Model != model {
		return merry.Prependf(errNotStarted, "model %s is not loaded", model)
	}

	return nil
}

func (e *Engine) remember(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.attempts.put(a.request.Attempt, a)
}

func (e *Engine) attempt(id backend.AttemptID) (*attempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.attempts.get(id)
}

// run streams an attempt to its finish event.
func (e *Engine) run(ctx context.Context, a *attempt, out *eventWriter) error {
	if err := out.begin(); err != nil {
		return err
	}

	if err := e.prefill(ctx, a); err != nil {
		return err
	}

	r := a.request
	end := answerTokens(string(r.Model), r.Prompt, r.MaxTokens)
	err := e.decodeUntil(ctx, a, end, out)

	// What is decoded stays cached, however the attempt ends. The caller's next request, which it may
	// send as soon as it has the finish event, finds it.
	e.cache.add(r.Model, a.words())

	if err != nil {
		return err
	}

	return out.finish(end, ExpectedFinish(string(r.Model), r.Prompt, r.MaxTokens), a.usage)
}

// prefill computes what is known already and not cached.
func (e *Engine) prefill(ctx context.Context, a *attempt) error {
	words := a.words()
	total := len(words)

	cached := max(e.cache.match(a.request.Model, words), e.imported(a.request))
	cached = min(cached, total)

	if err := sleep(ctx, e.Clock, time.Duration(total-cached)*e.PrefillPerToken); err != nil {
		return err
	}

	redone := e.Ledger.Compute(string(a.request.Model), a.request.Prompt, cached, total)
	e.usage.prefill(cached, total-cached, redone)
	a.usage.CachedTokens = cached
	a.usage.PrefilledTokens = total - cached
	e.cache.add(a.request.Model, words)

	return nil
}

// decodeUntil streams the tokens of an attempt before the offset end.
func (e *Engine) decodeUntil(ctx context.Context, a *attempt, end int, out *eventWriter) error {
	for offset := len(a.request.Generated); offset < end; offset++ {
		if err := e.decode(ctx, a, offset, out); err != nil {
			return err
		}
	}

	return nil
}

func (e *Engine) decode(ctx context.Context, a *attempt, offset int, out *eventWriter) error {
	if err := sleep(ctx, e.Clock, e.interval()); err != nil {
		return err
	}

	if err := e.Faults.Thaw(ctx); err != nil {
		return err
	}

	if err := ctx.Err(); err != nil {
		return merry.Wrap(err)
	}

	model, prompt := string(a.request.Model), a.request.Prompt
	token := ExpectedToken(model, prompt, offset)
	position := len(a.prompt) + offset
	e.usage.decode(e.Ledger.Compute(model, prompt, position, position+1))
	a.add(token)

	return out.token(offset, token)
}

// interval is the time for one token, which grows with the batch.
func (e *Engine) interval() time.Duration {
	running := e.slots.runningNow()
	if running <= e.FullRate {
		return e.TokenInterval
	}

	return e.TokenInterval * time.Duration(running) / time.Duration(e.FullRate)
}
