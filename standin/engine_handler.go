package standin

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/backend"
)

// Handler speaks the wire format of model engines.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.prepare)

	router := httprouter.New()
	e.handle(router, http.MethodPost, backend.GeneratePath, e.serveGenerate)
	e.handle(router, http.MethodPost, backend.CancelPath, e.serveCancel)
	e.handle(router, http.MethodPost, backend.ExportPath, e.serveExport)
	e.handle(router, http.MethodPost, ImportPath, e.serveImport)
	e.handle(router, http.MethodGet, backend.LoadPath, e.serveLoad)
	e.handle(router, http.MethodGet, backend.CacheEventsPath, e.serveCacheEvents)
	e.handle(router, http.MethodPost, backend.OrderPath, e.serveOrder)
	e.handle(router, http.MethodGet, backend.StatePath, e.serveState)
	e.handle(router, http.MethodGet, UsagePath, e.serveUsage)
	handleFaults(router, FaultsPath, e.Faults)

	return router
}

func (e *Engine) handle(router *httprouter.Router, method, path string, h handlerFunc) {
	router.HandlerFunc(method, path, func(w http.ResponseWriter, r *http.Request) {
		err := h(w, r)
		if errors.Is(err, backend.ErrStaleFence) {
			http.Error(w, err.Error(), http.StatusConflict)

			return
		}

		if err != nil {
			failBackend(w, err)
		}
	})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[backend.CancelRequest](r)
	if err != nil {
		return err
	}

	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	if a, ok := e.attempt(request.Attempt); ok {
		a.cancel(errCancelled)
	}

	w.WriteHeader(http.StatusNoContent)

	return nil
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) error {
	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	return writeMessage(w, e.slots.load(e.Faults.IsLeaving()))
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) error {
	after, err := strconv.ParseUint(r.URL.Query().Get(backend.AfterParam), 10, 64)
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	return writeMessage(w, e.cache.eventsAfter(after))
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) error {
	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	return writeMessage(w, e.State())
}

func (e *Engine) serveUsage(w http.ResponseWriter, _ *http.Request) error {
	return writeMessage(w, e.Usage())
}
