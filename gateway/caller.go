package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// HeaderPriority sets the priority of a request. The priority ceiling of the
// client account caps it.
const HeaderPriority = "X-Priority"

// defaultRetryAfter is the Retry-After of refusals whose cause is expected to pass
// soon.
const defaultRetryAfter = time.Second

// caller is the sender of a request: its client account in the manifest that was
// in force when the request arrived.
type caller struct {
	manifest *manifest.Manifest
	account  manifest.Account
}

// authenticate returns the client account that the bearer key of a request belongs
// to.
func (g *Gateway) authenticate(r *http.Request) (caller, *refusal.Refusal) {
	if g.stopping.Load() {
		return caller{}, refusal.New(refusal.ShuttingDown, "this instance is stopping").WithRetryAfter(defaultRetryAfter)
	}

	m := g.Manifest()
	if m == nil {
		return caller{}, refusal.New(refusal.NotReady, "no manifest is in force here").WithRetryAfter(defaultRetryAfter)
	}

	if name, repeated := repeatedHeader(r.Header); repeated {
		return caller{}, refusal.New(refusal.BadRequest, "the header %s is given more than once", name)
	}

	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, refusal.New(refusal.Unauthorized, "the Authorization header must hold a Bearer key")
	}

	account, ok := m.AccountByKey(secret)
	if !ok {
		return caller{}, refusal.New(refusal.Unauthorized, "the key belongs to no client account")
	}

	return caller{manifest: m, account: account}, nil
}

// service returns a service by name, or a refusal if the caller may not use it.
func (c caller) service(name fleet.Service) (manifest.Service, *refusal.Refusal) {
	service, ok := c.manifest.Service(name)
	if !ok {
		return manifest.Service{}, refusal.New(refusal.UnknownService, "there is no service %q", name)
	}

	if !c.account.Allows(name) {
		return manifest.Service{}, refusal.New(refusal.Forbidden, "the client account may not use %q", name)
	}

	return service, nil
}

// modelService returns the service that offers a model to the caller.
func (c caller) modelService(model fleet.Model) (manifest.Service, *refusal.Refusal) {
	service, offered, ok := c.manifest.ServiceOf(model, c.account)

	switch {
	case ok:
		return service, nil
	case offered:
		return manifest.Service{}, refusal.New(refusal.Forbidden, "the client account may not use the model %q", model)
	default:
		return manifest.Service{}, refusal.New(refusal.UnknownModel, "no service offers the model %q", model)
	}
}

// priority returns the priority of a call, from HeaderPriority or else from the kind
// of call, capped by the ceiling of the client account.
func (c caller) priority(h http.Header, call manifest.Call) (fleet.Priority, *refusal.Refusal) {
	priority := call.Priority()

	if text := h.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return 0, refusal.New(refusal.BadRequest, "%s must be a whole number of at least 0", HeaderPriority)
		}

		priority = fleet.Priority(n)
	}

	return min(priority, c.account.PriorityCeiling()), nil
}
