package gateway

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/chat"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// HeaderCallKind names the kind of call of a model request. The default is the
// first kind of the service.
const HeaderCallKind = "X-Call"

// bytesPerToken is the ratio by which the number of prompt tokens is estimated
// before a model engine has counted them.
const bytesPerToken = 4

// chatCall is a parsed and authorized chat request.
type chatCall struct {
	caller   caller
	request  chat.Request
	service  manifest.Service
	kind     manifest.Call
	priority fleet.Priority
	arrived  time.Time
	deadline time.Time
	bytes    int
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	defer g.instruments.trackOpen()()

	call, refused := g.parseChat(w, r)
	if refused != nil {
		g.refuseUnclassified(w, refused)

		return
	}

	if g.Retained != nil && r.Header.Get(HeaderLastEventID) != "" {
		g.resumeStream(w, r, call)

		return
	}

	ticket, refused := g.admit(r.Context(), call.deadline, call.admissionRequest())
	if refused != nil {
		o := call.refusedObservation(g.Clock.Now(), refused)
		o.CallerGone = r.Context().Err() != nil
		g.observe(o)
		g.refuse(w, refused)

		return
	}

	switch {
	case g.Retained != nil && prefersAsync(r.Header):
		g.acceptAsync(w, r, ticket, call)
	case g.Retained != nil && call.request.Stream:
		g.streamRetained(w, r, ticket, call)
	default:
		g.answerDirectly(w, r, ticket, call)
	}
}

// answerDirectly answers a request whose answer is not retained: it ends if the caller
// disconnects.
func (g *Gateway) answerDirectly(w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, call chatCall) {
	// Releases the admission of the request after a panic. Calling Finish again has
	// no effect.
	defer func() { g.Admission.Finish(g.Clock.Now(), ticket, admission.Outcome{}) }()

	model := call.modelRequest(g.NewID())
	out := g.newSink(w, call, model.Answer.ID)
	result := g.Models.Answer(r.Context(), model, out)
	g.finishChat(ticket, call, out, result)
}

func (g *Gateway) parseChat(w http.ResponseWriter, r *http.Request) (chatCall, *refusal.Refusal) {
	arrived := g.Clock.Now()

	c, refused := g.authenticate(r)
	if refused != nil {
		return chatCall{}, refused
	}

	body, refused := readBody(w, r, g.MaxBodyBytes)
	if refused != nil {
		return chatCall{}, refused
	}

	request, err := chat.ParseRequest(body)
	if err != nil {
		return chatCall{}, refusal.New(refusal.BadRequest, "%v", err)
	}

	service, refused := c.modelService(fleet.Model(request.Model))
	if refused != nil {
		return chatCall{}, refused
	}

	kind, refused := modelKind(service, r.Header)
	if refused != nil {
		return chatCall{}, refused
	}

	priority, refused := c.priority(r.Header, kind)
	if refused != nil {
		return chatCall{}, refused
	}

	deadline, refused := requestDeadline(r.Header, arrived, kind.Deadline())
	if refused != nil {
		return chatCall{}, refused
	}

	return chatCall{
		caller: c, request: request, service: service, kind: kind, priority: priority,
		arrived: arrived, deadline: deadline, bytes: len(body),
	}, nil
}

// modelKind returns the kind of call that HeaderCallKind names, or the first kind
// of the service.
func modelKind(service manifest.Service, h http.Header) (manifest.Call, *refusal.Refusal) {
	name := fleet.CallKind(h.Get(HeaderCallKind))
	if name == "" {
		return service.Calls()[0], nil
	}

	kind, ok := service.CallByName(name)
	if !ok {
		return manifest.Call{}, refusal.New(refusal.UnknownCall, "%q has no kind of call %q", service.Name(), name)
	}

	return kind, nil
}

func (c chatCall) modelRequest(id answer.RequestID) ModelRequest {
	prompt := c.request.Prompt()

	return ModelRequest{
		Service: c.service.Name(),
		Kind:    c.kind.Name(),
		Answer: answer.Request{
			ID:           id,
			Account:      c.caller.account.Name(),
			Model:        fleet.Model(c.request.Model),
			Prompt:       prompt,
			Priority:     c.priority,
			MaxTokens:    c.request.MaxOutputTokens(),
			Deadline:     c.deadline,
			PromptPrefix: promptPrefix(fleet.Model(c.request.Model), prompt),
		},
	}
}

func (c chatCall) admissionRequest() admission.Request {
	return admission.Request{
		Service:  c.service.Name(),
		Account:  c.caller.account.Name(),
		Kind:     c.kind.Name(),
		Priority: c.priority,
		Deadline: c.deadline,
		Bytes:    int64(c.bytes),
		Tokens:   c.bytes/bytesPerToken + c.request.MaxOutputTokens(),
	}
}

func (c chatCall) refusedObservation(now time.Time, r *refusal.Refusal) Observation {
	return Observation{
		Account:  c.caller.account.Name(),
		Service:  c.service.Name(),
		Kind:     c.kind,
		Duration: now.Sub(c.arrived),
		Refused:  r,
	}
}

func (g *Gateway) finishChat(ticket *admission.Ticket, call chatCall, out *sink, result answer.Result) {
	now := g.Clock.Now()
	o := out.observation()
	o.Account = call.caller.account.Name()
	o.Service = call.service.Name()
	o.Kind = call.kind
	o.Duration = now.Sub(call.arrived)
	o.Recomputed = recomputedTokens(result)
	o.Attempts = result.Attempts()

	g.Admission.Finish(now, ticket, admission.Outcome{
		Latency:  o.FirstToken,
		Duration: o.Duration,
		Tokens:   call.bytes/bytesPerToken + o.Tokens,
	})
	g.observe(o)
}

// prefixBlocks is the number of leading prompt blocks whose hash is used for
// prefix-aware routing.
const prefixBlocks = 4

// promptPrefix returns the hash under which engines cache the first blocks of a
// prompt, or 0 if the prompt is shorter than one block.
func promptPrefix(model fleet.Model, prompt string) uint64 {
	hashes := backend.PrefixHashes(model, prompt)
	if len(hashes) == 0 {
		return 0
	}

	return hashes[min(len(hashes), prefixBlocks)-1]
}

// recomputedTokens returns the number of tokens that the last attempt computed again
// because an earlier attempt failed.
func recomputedTokens(result answer.Result) int {
	complete, ok := result.Complete()
	if !ok || result.Attempts() < 2 {
		return 0
	}

	return complete.Usage.PrefilledTokens
}
