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

// HeaderCallKind names the kind of call of a model request. Without it the first
// kind of the service is taken.
const HeaderCallKind = "X-Call"

// bytesPerToken estimates the tokens of a prompt before an engine counts them.
const bytesPerToken = 4

// chatCall is a parsed and authorised chat request.
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
	defer g.instruments.enter()()

	call, refused := g.parseChat(w, r)
	if refused != nil {
		g.refuseUnknown(w, refused)

		return
	}

	if g.Retained != nil && r.Header.Get(HeaderLastEventID) != "" {
		g.resume(w, r, call)

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
	case g.Retained != nil && wantsAsync(r.Header):
		g.acceptAsync(w, r, ticket, call)
	case g.Retained != nil && call.request.Stream:
		g.streamKept(w, r, ticket, call)
	default:
		g.answerDirectly(w, r, ticket, call)
	}
}

// answerDirectly answers a request whose answer ends with its connection.
func (g *Gateway) answerDirectly(w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, call chatCall) {
	// A panic must not keep the place of the request; Finish counts once.
	defer func() { g.Admission.Finish(g.Clock.Now(), ticket, admission.Outcome{}) }()

	model := call.modelRequest(g.NewID())
	out := g.newSink(w, call, model.Answer.ID)
	result := g.Models.Answer(r.Context(), model, out)
	g.finishChat(ticket, call, out, result)
}

func (g *Gateway) parseChat(w http.ResponseWriter, r *http.Request) (chatCall, *refusal.Refusal) {
	arrived := g.Clock.Now()

	who, refused := g.authenticate(r)
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

	service, refused := who.modelService(fleet.Model(request.Model))
	if refused != nil {
		return chatCall{}, refused
	}

	kind, refused := modelKind(service, r.Header)
	if refused != nil {
		return chatCall{}, refused
	}

	priority, refused := who.priority(r.Header, kind)
	if refused != nil {
		return chatCall{}, refused
	}

	at, refused := deadline(r.Header, arrived, kind.Deadline())
	if refused != nil {
		return chatCall{}, refused
	}

	return chatCall{
		caller: who, request: request, service: service, kind: kind, priority: priority,
		arrived: arrived, deadline: at, bytes: len(body),
	}, nil
}

// modelKind returns the kind of call that a model request says it is.
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
	o.Recomputed = recomputed(result)
	o.Attempts = result.Attempts()

	g.Admission.Finish(now, ticket, admission.Outcome{
		Latency:  o.FirstToken,
		Duration: o.Duration,
		Tokens:   call.bytes/bytesPerToken + o.Tokens,
	})
	g.observe(o)
}

// prefixBlocks is how many cached blocks of a prompt decide where it goes.
const prefixBlocks = 4

// promptPrefix returns the hash by which engines know the start of a prompt, or
// 0 for a prompt shorter than one block.
func promptPrefix(model fleet.Model, prompt string) uint64 {
	hashes := backend.PrefixHashes(model, prompt)
	if len(hashes) == 0 {
		return 0
	}

	return hashes[min(len(hashes), prefixBlocks)-1]
}

// recomputed counts the tokens that the last attempt computed again because an
// earlier one was lost.
func recomputed(result answer.Result) int {
	complete, whole := result.Complete()
	if !whole || result.Attempts() < 2 {
		return 0
	}

	return complete.Usage.PrefilledTokens
}
