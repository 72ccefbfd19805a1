package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/backend"
	"monsoonlever/clock"
)

// ExecutionsPath is where a plain service answers with its Executions.
const ExecutionsPath = "/executions"

// errNotStarted means that a backend server refused a call before it ran.
var errNotStarted = errors.New("call was not started")

// CallAnswer is what a call of a plain service is answered with.
type CallAnswer struct {
	Path   string `json:"path"`
	Digest uint64 `json:"digest,string"`
	// Execution is the number of times that calls with this body ran.
	Execution int `json:"execution"`
}

// PlainService is a fake of a plain service. Every path that is not its own is
// a call, of any method. Set the exported fields before its use.
type PlainService struct {
	Clock  clock.Clock
	Faults *Faults
	// ServiceTime is how long a call runs.
	ServiceTime time.Duration
	// Slots calls run at a time, Queue more wait, and the rest is refused.
	Slots int
	Queue int
	// LoadLag is how old a load report is.
	LoadLag time.Duration

	// Tally may be shared by plain services; see Tally.
	Tally *Tally

	once  sync.Once
	slots *slots
}

// NewPlainService returns a plain service that answers at once.
func NewPlainService(c clock.Clock) *PlainService {
	return &PlainService{Clock: c, Faults: NewFaults(c), Tally: &Tally{}, Slots: 64, Queue: 256}
}

// Handler serves calls, the load, the executions and fault orders.
func (p *PlainService) Handler() http.Handler {
	p.once.Do(func() { p.slots = newSlots(p.Clock, p.LoadLag, p.Slots, p.Queue) })

	router := httprouter.New()
	handle(router, http.MethodGet, backend.LoadPath, p.serveLoad)
	handle(router, http.MethodGet, ExecutionsPath, p.serveExecutions)
	handleFaults(router, FaultsPath, p.Faults)
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.NotFound = http.HandlerFunc(p.serveCall)

	return router
}

// Executions returns what ran so far.
func (p *PlainService) Executions() Executions {
	return p.Tally.executions()
}

func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	// A call that has arrived runs, though its caller may have gone.
	ctx := context.WithoutCancel(r.Context())

	if err := p.call(ctx, w, r); err != nil {
		failBackend(w, err)
	}
}

func (p *PlainService) call(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	if err := p.Faults.Enter(ctx); err != nil {
		return err
	}

	if p.Faults.Refuses() {
		return merry.Prepend(errNotStarted, "drained")
	}

	if err := p.slots.acquire(ctx, 0); err != nil {
		return err
	}
	defer p.slots.release()

	if p.Faults.IsKilled() {
		return merry.Wrap(ErrNoAnswer)
	}

	digest := xxhash.Sum64(body)
	execution := p.Tally.add(r.Header.Get(backend.IdempotencyKeyHeader), digest)

	if err := sleep(ctx, p.Clock, p.ServiceTime); err != nil {
		return err
	}

	if p.Faults.LosesAnswer() {
		return merry.Wrap(ErrNoAnswer)
	}

	return writeMessage(w, CallAnswer{Path: r.URL.Path, Digest: digest, Execution: execution})
}

// failBackend answers an error the way a backend server does.
func failBackend(w http.ResponseWriter, err error) {
	if errors.Is(err, errNotStarted) || errors.Is(err, ErrDown) {
		w.Header().Set(backend.ExecutionHeader, backend.ExecutionNotStarted)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	fail(w, err)
}

func (p *PlainService) serveLoad(w http.ResponseWriter, r *http.Request) error {
	if err := p.Faults.Enter(r.Context()); err != nil {
		return err
	}

	return writeMessage(w, p.slots.load(p.Faults.IsLeaving()))
}

func (p *PlainService) serveExecutions(w http.ResponseWriter, _ *http.Request) error {
	return writeMessage(w, p.Executions())
}
