package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/provider"
)

const maxMessageBytes = 16 << 20

// handlerFunc is a handler whose error failure turns into an answer.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// errBadRequest is wrapped by what a caller did wrong.
var errBadRequest = errors.New("bad request")

func handle(router *httprouter.Router, method, path string, h handlerFunc) {
	router.HandlerFunc(method, path, func(w http.ResponseWriter, r *http.Request) {
		if err := h(w, r); err != nil {
			fail(w, err)
		}
	})
}

// fail answers an error the way the platform does.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrNoAnswer):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrDown), errors.Is(err, provider.ErrRefused):
		w.Header().Set(provider.EffectHeader, provider.EffectNone)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, provider.ErrNoCapacity):
		w.Header().Set(provider.EffectHeader, provider.EffectNone)
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errBadRequest), errors.Is(err, ErrUnknownFault):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func readMessage[T any](r *http.Request) (T, error) {
	var message T

	body, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		return message, merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	if err := json.Unmarshal(body, &message); err != nil {
		return message, merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	return message, nil
}

func writeMessage(w http.ResponseWriter, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return merry.Prepend(err, "encode answer")
	}

	w.Header().Set("Content-Type", "application/json")

	if _, err := w.Write(body); err != nil {
		return merry.Prepend(err, "write answer")
	}

	return nil
}

// handleFaults takes fault orders at a path.
func handleFaults(router *httprouter.Router, path string, f *Faults) {
	handle(router, http.MethodPost, path, func(w http.ResponseWriter, r *http.Request) error {
		order, err := readMessage[FaultOrder](r)
		if err != nil {
			return err
		}

		if err := f.Apply(order); err != nil {
			return err
		}

		w.WriteHeader(http.StatusNoContent)

		return nil
	})
}
