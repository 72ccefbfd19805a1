package gateway

import (
	"context"
	"net/http"
	"net/textproto"
	"time"

	"github.com/julienschmidt/httprouter"

	"monsoonlever/admission"
	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// HeaderIdempotencyKey identifies a call, so that it runs at most once even if it is
// sent several times.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// plainCall is a parsed and authorized call of a plain service.
type plainCall struct {
	service manifest.Service
	request PlainRequest
}

func (g *Gateway) plain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	defer g.instruments.trackOpen()()

	call, refused := g.parsePlain(w, r, params)
	if refused != nil {
		g.refuseUnclassified(w, notStartedIfKeyed(r.Header, refused))

		return
	}

	ticket, refused := g.admit(r.Context(), call.request.Deadline, call.admissionRequest())
	if refused != nil {
		refused = notStartedIfKeyed(r.Header, refused)
		g.observe(call.observation(r.Context(), g.Clock.Now(), refused))
		g.refuse(w, refused)

		return
	}

	// Releases the admission of the request after a panic. Calling Finish again has
	// no effect.
	defer func() { g.Admission.Finish(g.Clock.Now(), ticket, admission.Outcome{}) }()

	reply, refused := g.Plain.Call(r.Context(), call.request)
	now := g.Clock.Now()
	g.Admission.Finish(now, ticket, call.outcome(now, refused))
	g.observe(call.observation(r.Context(), now, refused))

	if refused != nil {
		g.refuse(w, refused)

		return
	}

	g.setWriteDeadline(w)
	writeReply(w, call.request, reply)
}

func (g *Gateway) parsePlain(
	w http.ResponseWriter, r *http.Request, params httprouter.Params,
) (plainCall, *refusal.Refusal) {
	arrived := g.Clock.Now()

	c, refused := g.authenticate(r)
	if refused != nil {
		return plainCall{}, refused
	}

	service, refused := c.service(fleet.Service(params.ByName("service")))
	if refused != nil {
		return plainCall{}, refused
	}

	path := params.ByName("path")

	kind, ok := service.CallFor(r.Method, path)
	if !ok {
		return plainCall{}, refusal.New(refusal.UnknownCall, "%q has no call %s %s", service.Name(), r.Method, path)
	}

	forwardedPath, refused := servicePath(r.URL, path)
	if refused != nil {
		return plainCall{}, refused
	}

	key, refused := idempotencyKey(r.Header, kind)
	if refused != nil {
		return plainCall{}, refused
	}

	priority, refused := c.priority(r.Header, kind)
	if refused != nil {
		return plainCall{}, refused
	}

	deadline, refused := requestDeadline(r.Header, arrived, kind.Deadline())
	if refused != nil {
		return plainCall{}, refused
	}

	body, refused := readBody(w, r, g.MaxBodyBytes)
	if refused != nil {
		return plainCall{}, refused
	}

	return plainCall{service: service, request: PlainRequest{
		ID:      g.NewID(),
		Account: c.account.Name(),
		Service: service.Name(),
		Kind:    kind,
		Call: backend.Call{
			Method: r.Method, Path: forwardedPath, Header: forwardedHeader(r.Header), Body: body, IdempotencyKey: key,
		},
		Priority: priority,
		Arrived:  arrived,
		Deadline: deadline,
	}}, nil
}

func idempotencyKey(h http.Header, kind manifest.Call) (string, *refusal.Refusal) {
	key := h.Get(HeaderIdempotencyKey)

	if len(key) > maxKeyBytes {
		return "", refusal.New(refusal.BadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}

	if key == "" && !kind.Idempotent() {
		return "", refusal.New(refusal.KeyRequired, "%q may not be repeated and needs %s", kind.Name(), HeaderIdempotencyKey)
	}

	return key, nil
}

// requestHeaders are the request headers that are forwarded to the service.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Traceparent"}

func forwardedHeader(h http.Header) http.Header {
	out := http.Header{}

	for _, name := range requestHeaders {
		if values := h.Values(name); len(values) > 0 {
			out[textproto.CanonicalMIMEHeaderKey(name)] = values
		}
	}

	return out
}

// replyHeaders are the reply headers that are returned to the caller.
var replyHeaders = []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location", "Retry-After"}

func writeReply(w http.ResponseWriter, r PlainRequest, reply backend.Reply) {
	for _, name := range replyHeaders {
		if values := reply.Header.Values(name); len(values) > 0 {
			w.Header()[name] = values
		}
	}

	w.Header().Set("X-Request-Id", string(r.ID))
	w.WriteHeader(reply.Status)
	// Ignores write errors: the caller has disconnected.
	_, _ = w.Write(reply.Body)
}

func (c plainCall) admissionRequest() admission.Request {
	return admission.Request{
		Service:  c.request.Service,
		Account:  c.request.Account,
		Kind:     c.request.Kind.Name(),
		Priority: c.request.Priority,
		Deadline: c.request.Deadline,
		Bytes:    int64(len(c.request.Call.Body)),
	}
}

// notStartedIfKeyed changes the run state of a refusal from refusal.NotRun to
// refusal.NotStarted if the request has an idempotency key, since an earlier attempt
// with the same key may have run.
func notStartedIfKeyed(h http.Header, r *refusal.Refusal) *refusal.Refusal {
	if r.Run() != refusal.NotRun || !hasIdempotencyKey(h) {
		return r
	}

	return r.WithRun(refusal.NotStarted)
}

func (c plainCall) outcome(now time.Time, refused *refusal.Refusal) admission.Outcome {
	return admission.Outcome{
		Latency:    now.Sub(c.request.Arrived),
		Duration:   now.Sub(c.request.Arrived),
		Overloaded: refused != nil && refused.Code() == refusal.ServerRefused,
	}
}

func (c plainCall) observation(ctx context.Context, now time.Time, refused *refusal.Refusal) Observation {
	return Observation{
		Account:    c.request.Account,
		Service:    c.request.Service,
		Kind:       c.request.Kind,
		Duration:   now.Sub(c.request.Arrived),
		Refused:    refused,
		CallerGone: ctx.Err() != nil,
	}
}
