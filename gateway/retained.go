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
	// HeaderLastEventID is sent by a caller who comes back for the rest of a
	// streamed answer, to any entry instance.
	HeaderLastEventID = "Last-Event-Id"
	// HeaderPrefer asks with "respond-async" that the answer be fetched later.
	HeaderPrefer = "Prefer"

	preferAsync = "respond-async"
	answersPath = "/v1/answers/"
)

// RetainedAnswers keeps answers beyond the connection of their caller, and beyond
// the entry instance that accepted them.
type RetainedAnswers interface {
	// Start begins to answer a request. If durable is set it returns nil only once
	// another failure domain holds a copy. The function is called once the work
	// of this instance at the answer has ended.
	Start(ctx context.Context, r ModelRequest, durable bool, ended func(answer.Result)) error
	// Follow passes an answer on to a caller, from right after an event.
	Follow(ctx context.Context, account fleet.Account, after answer.EventID, to answer.Caller) error
	// Release tells that the caller of an answer has gone. The answer is given up
	// unless someone follows it again soon.
	Release(id answer.RequestID)
}

func wantsAsync(h http.Header) bool {
	for _, value := range h.Values(HeaderPrefer) {
		if slices.Contains(strings.FieldsFunc(value, isPreferenceEnd), preferAsync) {
			return true
		}
	}

	return false
}

func isPreferenceEnd(r rune) bool {
	return r == ',' || r == ';' || r == ' '
}

// streamKept streams an answer that its caller may come back for.
func (g *Gateway) streamKept(w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, call chatCall) {
	model := call.modelRequest(g.NewID())
	out := g.newSink(w, call, model.Answer.ID)
	times := &keptTimes{}

	err := g.Retained.Start(r.Context(), model, false, func(result answer.Result) {
		g.finishKept(ticket, call, times, result)
	})
	if err != nil {
		g.refuseKept(w, ticket, call, err)

		return
	}

	err = g.Retained.Follow(r.Context(), model.Answer.Account, answer.EventID{Request: model.Answer.ID}, &keptCaller{sink: out, times: times})
	if err != nil {
		g.endFollowed(w, r, out, model.Answer.ID, refusal.New(refusal.AnswerLost, "%v", err).WithRetryAfter(comeBackSoon))
	}

	g.observeKept(call, out, times, err, r.Context().Err() != nil)
}

// acceptAsync accepts a request whose answer is fetched later, from any instance.
func (g *Gateway) acceptAsync(w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, call chatCall) {
	model := call.modelRequest(g.NewID())
	times := &keptTimes{}

	err := g.Retained.Start(r.Context(), model, true, func(result answer.Result) {
		g.finishKept(ticket, call, times, result)
		g.observe(call.keptObservation(g.Clock.Now(), result))
	})
	if err != nil {
		g.refuseKept(w, ticket, call, err)

		return
	}

	w.Header().Set("Location", answersPath+string(model.Answer.ID))
	w.Header().Set("X-Request-Id", string(model.Answer.ID))
	w.Header().Set("Preference-Applied", preferAsync)
	writeProgress(w, http.StatusAccepted, Progress{ID: model.Answer.ID, Status: StatusRunning})
}

// refuseKept tells that a request could not be kept. A copy that came late may
// still go on with it.
func (g *Gateway) refuseKept(w http.ResponseWriter, ticket *admission.Ticket, call chatCall, err error) {
	now := g.Clock.Now()
	g.Admission.Finish(now, ticket, admission.Outcome{})

	refused := refusal.New(refusal.NoCopy, "%v", err).WithRetryAfter(comeBackSoon)
	g.observe(call.refusedObservation(now, refused))
	g.refuse(w, refused)
}

// resume passes on the rest of an answer to a caller who came back.
func (g *Gateway) resume(w http.ResponseWriter, r *http.Request, call chatCall) {
	after, err := answer.ParseEventID(r.Header.Get(HeaderLastEventID))
	if err != nil {
		g.refuse(w, refusal.New(refusal.BadRequest, "%v", err))

		return
	}

	out := g.newSink(w, call, after.Request)
	account := call.caller.account.Name()

	if err := g.Retained.Follow(r.Context(), account, after, &keptCaller{sink: out, times: &keptTimes{}}); err != nil {
		g.endFollowed(w, r, out, after.Request, refusal.New(refusal.UnknownAnswer, "%v", err))
	}
}

// endFollowed ends a connection whose answer could not be passed on to its end.
// A caller who is still there is told; were nothing written, the response would
// end as if it were whole.
func (g *Gateway) endFollowed(w http.ResponseWriter, r *http.Request, out *sink, id answer.RequestID, refused *refusal.Refusal) {
	if r.Context().Err() != nil {
		g.Retained.Release(id)

		return
	}

	if out.tokens == 0 {
		g.refuse(w, refused)

		return
	}

	// The caller is gone if this fails; there is nobody to tell.
	_ = out.giveUp(refused)
}

// finishKept gives the place of a request free once its answer has ended here.
func (g *Gateway) finishKept(ticket *admission.Ticket, call chatCall, times *keptTimes, result answer.Result) {
	now := g.Clock.Now()
	complete, _ := result.Complete()

	g.Admission.Finish(now, ticket, admission.Outcome{
		Latency:  times.firstToken(call.arrived),
		Duration: now.Sub(call.arrived),
		Tokens:   call.bytes/bytesPerToken + complete.Tokens,
	})
	times.end(result)
}

// observeKept records a streamed answer as its caller saw it.
func (g *Gateway) observeKept(call chatCall, out *sink, times *keptTimes, err error, gone bool) {
	result := times.result()
	o := out.observation()
	o.Account = call.caller.account.Name()
	o.Service = call.service.Name()
	o.Kind = call.kind
	o.Duration = g.Clock.Now().Sub(call.arrived)
	o.Recomputed = recomputed(result)
	o.Attempts = max(result.Attempts(), 1)

	if err != nil {
		o.CallerGone = gone
		o.Refused = refusal.New(refusal.AnswerLost, "%v", err)
	}

	g.observe(o)
}

// keptObservation records an answer that no caller waited for.
func (c chatCall) keptObservation(now time.Time, result answer.Result) Observation {
	o := Observation{
		Account:    c.caller.account.Name(),
		Service:    c.service.Name(),
		Kind:       c.kind,
		Duration:   now.Sub(c.arrived),
		Recomputed: recomputed(result),
		Attempts:   result.Attempts(),
	}

	if complete, whole := result.Complete(); whole {
		o.Tokens = complete.Tokens

		return o
	}

	if gaveUp, ok := result.Refusal(); ok {
		o.Refused = refusalOf(gaveUp)
		// Another instance goes on with an answer that was handed off.
		o.CallerGone = gaveUp.Reason == answer.ReasonCallerGone
	}

	return o
}
