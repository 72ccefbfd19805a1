package standin

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) error {
	order, err := readMessage[backend.Order](r)
	if err != nil {
		return err
	}

	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	if err := e.apply(order); err != nil {
		return err
	}

	if e.Faults.LosesAnswer() {
		return merry.Wrap(ErrNoAnswer)
	}

	w.WriteHeader(http.StatusNoContent)

	return nil
}

// apply takes an order. An engine that checks no fence takes an old one too.
func (e *Engine) apply(o backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.ChecksFence && o.Fence < e.state.Fence {
		return merry.Wrap(backend.ErrStaleFence)
	}

	e.state.Fence = o.Fence
	e.state.Adapter = o.Adapter
	e.state.Role = o.Role

	held := o.Model == e.state.Model && o.Version == e.state.Version
	if held && (e.state.Ready || e.loading) {
		return nil
	}

	e.state.Model = o.Model
	e.state.Version = o.Version
	e.state.Ready = e.Weights == nil
	e.changes++

	if e.Weights != nil {
		change := e.changes
		e.loading = true
		e.loads.Go(func() { e.load(o, change) })
	}

	return nil
}

// load fetches the weights; a later change of model makes it void. Where it
// fails, the next order loads again.
func (e *Engine) load(o backend.Order, change int) {
	_, err := e.Weights.Fetch(context.Background(), o.Model, o.Version)

	e.mu.Lock()
	defer e.mu.Unlock()

	if change != e.changes {
		return
	}

	e.loading = false
	e.state.Ready = err == nil
}

// Wait returns when no model is being loaded.
func (e *Engine) Wait() {
	e.loads.Wait()
}
