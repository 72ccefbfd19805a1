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

// The states of a kept answer.
const (
	StatusRunning  = "running"
	StatusComplete = "whole"
)

// defaultAnswerWait is how long a question for a kept answer waits for its end.
const defaultAnswerWait = time.Second

// answerSearch is how long an answer is looked for at least before it is refused
// as unknown, however short the question's own wait is.
const answerSearch = 2 * time.Second

// Progress is the JSON form of a kept answer.
type Progress struct {
	ID     answer.RequestID `json:"id"`
	Status string           `json:"status"`
	// Tokens counts the tokens so far.
	Tokens int `json:"tokens"`
	// Text, FinishReason and Usage are set once the answer is whole.
	Text         string      `json:"text,omitempty"`
	FinishReason string      `json:"finishReason,omitempty"`
	Usage        *chat.Usage `json:"usage,omitempty"`
}

// keptAnswer answers a question for a kept answer: the whole of it, or 202 if it
// has not ended within the wait.
func (g *Gateway) keptAnswer(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	who, refused := g.authenticate(r)
	if refused != nil {
		g.refuseUnknown(w, refused)

		return
	}

	if g.Retained == nil {
		g.refuseUnknown(w, refusal.New(refusal.UnknownAnswer, "this instance keeps no answers"))

		return
	}

	until, refused := deadline(r.Header, g.Clock.Now(), defaultAnswerWait)
	if refused != nil {
		g.refuseUnknown(w, refused)

		return
	}

	searched := g.Clock.Now().Add(answerSearch)
	id := answer.RequestID(params.ByName("id"))
	reader := &progressReader{}

	err := g.followUntil(r.Context(), until, who, id, reader)
	if errors.Is(err, answer.ErrNotFoundYet) && until.Before(searched) {
		err = g.followUntil(r.Context(), searched, who, id, reader)
	}

	g.writeKept(w, id, reader, err)
}

func (g *Gateway) followUntil(
	parent context.Context, until time.Time, who caller, id answer.RequestID, reader *progressReader,
) error {
	ctx, cancel := context.WithDeadline(parent, until)
	defer cancel()

	return g.Retained.Follow(ctx, who.account.Name(), answer.EventID{Request: id}, reader)
}

func (g *Gateway) writeKept(w http.ResponseWriter, id answer.RequestID, reader *progressReader, err error) {
	p := Progress{ID: id, Status: StatusRunning, Tokens: reader.tokens}

	switch {
	case errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, answer.ErrNotFoundYet):
		w.Header().Set("Retry-After", "1")
		writeProgress(w, http.StatusAccepted, p)
	case err != nil:
		g.refuse(w, refusal.New(refusal.UnknownAnswer, "%v", err))
	case reader.end.Refusal != nil:
		g.refuse(w, refusalOf(*reader.end.Refusal))
	default:
		p.Status = StatusComplete
		p.Text = reader.text.String()
		p.FinishReason = reader.end.Finish
		p.Usage = &chat.Usage{
			PromptTokens:     reader.end.Usage.PromptTokens,
			CompletionTokens: reader.end.Tokens,
			TotalTokens:      reader.end.Usage.PromptTokens + reader.end.Tokens,
		}
		writeProgress(w, http.StatusOK, p)
	}
}

func writeProgress(w http.ResponseWriter, status int, p Progress) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone if this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(p)
}

// progressReader gathers an answer.
type progressReader struct {
	text   strings.Builder
	tokens int
	end    answer.Ending
}

var _ answer.Caller = (*progressReader)(nil)

// Write takes the next token.
func (p *progressReader) Write(_ answer.EventID, token string) error {
	p.text.WriteString(token)
	p.tokens++

	return nil
}

// End takes the end of the answer.
func (p *progressReader) End(e answer.Ending) error {
	p.end = e

	return nil
}
