package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/fleet"
	"monsoonlever/refusal"
)

const (
	// HeaderLastEventID is the ID of the last event that a caller received. The
	// caller sends it to any entry instance to resume a streamed answer.
	HeaderLastEventID = "Last-Event-Id"
	// HeaderPrefer requests with "respond-async" that the answer be available for
	// retrieval later.
	HeaderPrefer = "Prefer"

	preferAsync = "respond-async"
	answersPath = "/v1/answers/"
)

// RetainedAnswers runs answers that outlive the connection of their caller and the
// entry instance that accepted them.
type RetainedAnswers interface {
	// Start starts to answer a request. If durable is set, it returns nil only after
	// another failure domain has stored a copy of the request. It calls ended when
	// this instance has stopped working on the answer.
	Start(ctx context.Context, r ModelRequest, durable bool, ended func(answer.Result)) error
	// Follow writes an answer to a caller, starting after the given event.
	Follow(ctx context.Context, account fleet.Account, after answer.EventID, to answer.Caller) error
	// Release reports that the caller of an answer has disconnected. The answer is
	// abandoned unless a caller follows it again within a grace period.
	Release(id answer.RequestID)
}

func prefersAsync(h http.Header) bool {
	for _, value := range h.Values(HeaderPrefer) {
		if slices.Contains(strings.FieldsFunc(value, isPreferenceSeparator), preferAsync) {
			return true
		}
	}

	return false
}

func isPreferenceSeparator(r rune) bool {
	return r == ',' || r == ';' || r == ' '
}

// streamRetained streams an answer that its caller can resume.
func (g *Gateway) streamRetained(w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, call chatCall) {
	model := call.modelRequest(g.NewID())
	out := g.newSink(w, call, model.Answer.ID)
	record := &answerRecord{}

	err := g.Retained.Start(r.Context(), model, false, func(result answer.Result) {
		g.finishRetained(ticket, call, record, result)
	})
	if err != nil {
		g.refuseNotRetained(w, ticket, call, err)

		return
	}

	err = g.Retained.Follow(r.Context(), model.Answer.Account, answer.EventID{Request: model.Answer.ID}, &sinkCaller{sink: out, record: record})
	if err != nil {
		g.endFailedFollow(w, r, out, model.Answer.ID, refusal.New(refusal.AnswerLost, "%v", err).WithRetryAfter(defaultRetryAfter))
	}

	g.observeRetained(call, out, record, err, r.Context().Err() != nil)
}

// acceptAsync accepts a request whose answer the caller retrieves later, from any
// entry instance.
func (g *Gateway) acceptAsync(w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, call chatCall) {
	model := call.modelRequest(g.NewID())
	record := &answerRecord{}

	err := g.Retained.Start(r.Context(), model, true, func(result answer.Result) {
		g.finishRetained(ticket, call, record, result)
		g.observe(call.asyncObservation(g.Clock.Now(), result))
	})
	if err != nil {
		g.refuseNotRetained(w, ticket, call, err)

		return
	}

	w.Header().Set("Location", answersPath+string(model.Answer.ID))
	w.Header().Set("X-Request-Id", string(model.Answer.ID))
	w.Header().Set("Preference-Applied", preferAsync)
	writeProgress(w, http.StatusAccepted, Progress{ID: model.Answer.ID, Status: StatusRunning})
}

// refuseNotRetained refuses a request that could not be stored. Whether it runs is
// unknown: a copy that was stored too late may still continue it.
func (g *Gateway) refuseNotRetained(w http.ResponseWriter, ticket *admission.Ticket, call chatCall, err error) {
	now := g.Clock.Now()
	g.Admission.Finish(now, ticket, admission.Outcome{})

	refused := refusal.New(refusal.NoCopy, "%v", err).WithRetryAfter(defaultRetryAfter)
	g.observe(call.refusedObservation(now, refused))
	g.refuse(w, refused)
}

// resumeStream streams the rest of an answer after the event that HeaderLastEventID
// names.
func (g *Gateway) resumeStream(w http.ResponseWriter, r *http.Request, call chatCall) {
	after, err := answer.ParseEventID(r.Header.Get(HeaderLastEventID))
	if err != nil {
		g.refuse(w, refusal.New(refusal.BadRequest, "%v", err))

		return
	}

	out := g.newSink(w, call, after.Request)
	account := call.caller.account.Name()

	if err := g.Retained.Follow(r.Context(), account, after, &sinkCaller{sink: out, record: &answerRecord{}}); err != nil {
		g.endFailedFollow(w, r, out, after.Request, notFoundRefusal(err))
	}
}

// endFailedFollow ends a response whose answer could not be followed to its end. It
// releases the answer if the caller has disconnected. Otherwise it writes the refusal:
// without it the response would end as if the answer were complete.
func (g *Gateway) endFailedFollow(w http.ResponseWriter, r *http.Request, out *sink, id answer.RequestID, refused *refusal.Refusal) {
	if r.Context().Err() != nil {
		g.Retained.Release(id)

		return
	}

	if out.tokens == 0 {
		g.refuse(w, refused)

		return
	}

	// Ignores write errors: the caller has disconnected.
	_ = out.fail(refused)
}

// finishRetained finishes the admission of a request after this instance has stopped
// working on its answer.
func (g *Gateway) finishRetained(ticket *admission.Ticket, call chatCall, record *answerRecord, result answer.Result) {
	now := g.Clock.Now()
	complete, _ := result.Complete()

	g.Admission.Finish(now, ticket, admission.Outcome{
		Latency:  record.timeToFirstToken(call.arrived),
		Duration: now.Sub(call.arrived),
		Tokens:   call.bytes/bytesPerToken + complete.Tokens,
	})
	record.setResult(result)
}

// observeRetained observes a streamed answer as its caller received it.
func (g *Gateway) observeRetained(call chatCall, out *sink, record *answerRecord, err error, callerGone bool) {
	result := record.result()
	o := out.observation()
	o.Account = call.caller.account.Name()
	o.Service = call.service.Name()
	o.Kind = call.kind
	o.Duration = g.Clock.Now().Sub(call.arrived)
	o.Recomputed = recomputedTokens(result)
	o.Attempts = max(result.Attempts(), 1)

	if err != nil {
		o.CallerGone = callerGone
		o.Refused = refusal.New(refusal.AnswerLost, "%v", err)
	}

	g.observe(o)
}

// asyncObservation returns the observation of an answer to an asynchronous request.
func (c chatCall) asyncObservation(now time.Time, result answer.Result) Observation {
	o := Observation{
		Account:    c.caller.account.Name(),
		Service:    c.service.Name(),
		Kind:       c.kind,
		Duration:   now.Sub(c.arrived),
		Recomputed: recomputedTokens(result),
		Attempts:   result.Attempts(),
	}

	if complete, ok := result.Complete(); ok {
		o.Tokens = complete.Tokens

		return o
	}

	if giveUp, ok := result.Refusal(); ok {
		o.Refused = refusalOfGiveUp(giveUp)
		// An answer that was handed off also ends with this reason here, while another
		// instance continues it.
		o.CallerGone = giveUp.Reason == answer.ReasonCallerGone
	}

	return o
}
