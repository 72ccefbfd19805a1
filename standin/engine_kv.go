package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// ImportPath is where an engine takes a KV cache from another engine.
const ImportPath = "/kv/import"

// errUnknownAttempt means that an engine holds no KV cache of an attempt.
var errUnknownAttempt = errors.New("attempt is not known")

// kvCache is the KV cache of a prompt and a part of its answer.
type kvCache struct {
	Model     fleet.Model `json:"model"`
	Prompt    string      `json:"prompt"`
	Generated []string    `json:"generated"`
}

func (k kvCache) tokens() int {
	return len(strings.Fields(k.Prompt)) + len(k.Generated)
}

// importRequest carries a KV cache to an engine, which holds it under Name.
type importRequest struct {
	Name  string  `json:"name"`
	Cache kvCache `json:"cache"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[backend.ExportRequest](r)
	if err != nil {
		return err
	}

	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	a, ok := e.attempt(request.Attempt)
	if !ok {
		return merry.Wrap(errBadRequest, merry.WithCause(errUnknownAttempt))
	}

	name := "kv-" + string(request.Attempt)
	if err := e.export(r.Context(), request.Target, importRequest{Name: name, Cache: a.kv()}); err != nil {
		return err
	}

	if e.Faults.LosesAnswer() {
		return merry.Wrap(ErrNoAnswer)
	}

	return writeMessage(w, backend.ExportResponse{KV: name})
}

func (e *Engine) export(ctx context.Context, target string, message importRequest) error {
	body, err := json.Marshal(message)
	if err != nil {
		return merry.Prepend(err, "encode kv cache")
	}

	url := "http://" + target + ImportPath

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, "make request")
	}

	resp, err := e.Client.Do(req)
	if err != nil {
		return merry.Prepend(err, "send kv cache")
	}
	defer resp.Body.Close() //nolint:errcheck // nothing is left to be read

	if resp.StatusCode != http.StatusNoContent {
		return merry.Errorf("send kv cache: status %d", resp.StatusCode)
	}

	return nil
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) error {
	request, err := readMessage[importRequest](r)
	if err != nil {
		return err
	}

	if err := e.Faults.Enter(r.Context()); err != nil {
		return err
	}

	transfer := time.Duration(request.Cache.tokens()) * e.KVPerToken
	if _, err := e.pipe.carry(r.Context(), e.Clock, transfer); err != nil {
		return err
	}

	e.mu.Lock()
	e.kvs.put(request.Name, request.Cache)
	e.mu.Unlock()

	w.WriteHeader(http.StatusNoContent)

	return nil
}

// imported returns how many tokens an imported KV cache spares a request.
func (e *Engine) imported(r backend.GenerateRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	cache, ok := e.kvs.get(r.KV)
	if !ok || cache.Model != r.Model || cache.Prompt != r.Prompt {
		return 0
	}

	return cache.tokens()
}
