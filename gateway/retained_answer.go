package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"monsoonlever/answer"
	"monsoonlever/chat"
	"monsoonlever/refusal"
)

// The states of a retained answer.
const (
	StatusRunning  = "running"
	StatusComplete = "whole"
)

// defaultAnswerWait is how long a request for a retained answer waits for its end,
// unless the request sets a deadline.
const defaultAnswerWait = time.Second

const (
	// minAnswerLookup is the minimum time to look for an answer before it is refused as
	// unknown, even if the deadline of the request is earlier.
	minAnswerLookup = 2 * time.Second
	// maxAnswerLookup is the time to look for an answer while an instance that may have
	// it has not replied.
	maxAnswerLookup = 4 * time.Second
)

// Progress is the JSON form of a retained answer.
type Progress struct {
	ID     answer.RequestID `json:"id"`
	Status string           `json:"status"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens"`
	// Text, FinishReason and Usage are set once the answer is complete.
	Text         string      `json:"text,omitempty"`
	FinishReason string      `json:"finishReason,omitempty"`
	Usage        *chat.Usage `json:"usage,omitempty"`
}

// retainedAnswer responds to a request for a retained answer with the complete answer,
// or with status 202 and the progress if the answer has not ended by the deadline.
func (g *Gateway) retainedAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	c, refused := g.authenticate(r)
	if refused != nil {
		g.refuseUnclassified(w, refused)

		return
	}

	if g.Retained == nil {
		g.refuseUnclassified(w, refusal.New(refusal.UnknownAnswer, "this instance keeps no answers"))

		return
	}

	deadline, refused := requestDeadline(r.Header, g.Clock.Now(), defaultAnswerWait)
	if refused != nil {
		g.refuseUnclassified(w, refused)

		return
	}

	id := answer.RequestID(params.ByName("id"))
	collector := &answerCollector{}
	err := g.lookUp(r.Context(), deadline, c, id, collector)

	g.writeRetained(w, id, collector, err)
}

// lookUp follows an answer until the deadline, or longer as long as it has not been
// found.
func (g *Gateway) lookUp(ctx context.Context, deadline time.Time, c caller, id answer.RequestID, collector *answerCollector) error {
	began := g.Clock.Now()
	err := g.followWithDeadline(ctx, deadline, c, id, collector)

	if end := began.Add(minAnswerLookup); isNotFound(err) && deadline.Before(end) {
		deadline = end
		err = g.followWithDeadline(ctx, deadline, c, id, collector)
	}

	if end := began.Add(maxAnswerLookup); errors.Is(err, answer.ErrNoReply) && deadline.Before(end) {
		err = g.followWithDeadline(ctx, end, c, id, collector)
	}

	return err
}

// isNotFound reports whether the time was over before the answer was found.
func isNotFound(err error) bool {
	return errors.Is(err, answer.ErrNotFoundYet) || errors.Is(err, answer.ErrNoReply)
}

// notFoundRefusal returns the refusal of a request for an answer that was not found. It
// is unknown only if all instances that may have it have said so.
func notFoundRefusal(err error) *refusal.Refusal {
	if errors.Is(err, answer.ErrNoReply) {
		return refusal.New(refusal.AnswerUnreachable, "%v", err).WithRetryAfter(defaultRetryAfter)
	}

	return refusal.New(refusal.UnknownAnswer, "%v", err)
}

func (g *Gateway) followWithDeadline(
	parent context.Context, deadline time.Time, c caller, id answer.RequestID, collector *answerCollector,
) error {
	ctx, cancel := context.WithDeadline(parent, deadline)
	defer cancel()

	return g.Retained.Follow(ctx, c.account.Name(), answer.EventID{Request: id}, collector)
}

func (g *Gateway) writeRetained(w http.ResponseWriter, id answer.RequestID, collector *answerCollector, err error) {
	p := Progress{ID: id, Status: StatusRunning, Tokens: collector.tokens}

	switch {
	case errors.Is(err, context.DeadlineExceeded) && !isNotFound(err):
		w.Header().Set("Retry-After", "1")
		writeProgress(w, http.StatusAccepted, p)
	case err != nil:
		g.refuse(w, notFoundRefusal(err))
	case collector.end.Refusal != nil:
		g.refuse(w, refusalOfGiveUp(*collector.end.Refusal))
	default:
		p.Status = StatusComplete
		p.Text = collector.text.String()
		p.FinishReason = collector.end.Finish
		p.Usage = &chat.Usage{
			PromptTokens:     collector.end.Usage.PromptTokens,
			CompletionTokens: collector.end.Tokens,
			TotalTokens:      collector.end.Usage.PromptTokens + collector.end.Tokens,
		}
		writeProgress(w, http.StatusOK, p)
	}
}

func writeProgress(w http.ResponseWriter, status int, p Progress) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignores write errors: the caller has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}

// answerCollector collects the text and the end of an answer.
type answerCollector struct {
	text   strings.Builder
	tokens int
	end    answer.Ending
}

var _ answer.Caller = (*answerCollector)(nil)

// Write adds the next token.
func (p *answerCollector) Write(_ answer.EventID, token string) error {
	p.text.WriteString(token)
	p.tokens++

	return nil
}

// End stores the end of the answer.
func (p *answerCollector) End(e answer.Ending) error {
	p.end = e

	return nil
}
