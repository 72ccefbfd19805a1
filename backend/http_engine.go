package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
)

// The wire format of a model engine: JSON messages at these paths, and one server-sent event
// with a TokenEvent for each token of an answer. An engine answers an order with an old fencing
// token with status 409.
const (
	GeneratePath    = "/generate"
	CancelPath      = "/cancel"
	ExportPath      = "/kv/export"
	CacheEventsPath = "/cache-events"
	OrderPath       = "/order"
	StatePath       = "/state"
	AfterParam      = "after"
	EventStreamType = "text/event-stream"
)

// ErrNotEventStream means that the response to a generate call is not an event stream.
var ErrNotEventStream = errors.New("response is not an event stream")

// CancelRequest asks an engine to cancel one attempt.
type CancelRequest struct {
	Attempt AttemptID `json:"attempt"`
}

// ExportRequest asks an engine to copy an attempt's KV cache to the engine at Target.
type ExportRequest struct {
	Attempt AttemptID `json:"attempt"`
	Target  string    `json:"target"`
}

// ExportResponse holds the name of the copy on the target.
type ExportResponse struct {
	KV string `json:"kv"`
}

// HTTPEngine is a client of a model engine on one backend server.
type HTTPEngine struct {
	client *httpclient.Client
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns a client of the engine at host:port.
func NewHTTPEngine(address string, c *http.Client) *HTTPEngine {
	return &HTTPEngine{client: httpclient.New("http://"+address, c)}
}

// Generate starts an attempt. It sends the request at most once. The stream fails when ctx is
// canceled.
func (e *HTTPEngine) Generate(ctx context.Context, r GenerateRequest) (TokenStream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	header := http.Header{"Content-Type": {"application/json"}}

	resp, err := e.client.Send(ctx, http.MethodPost, GeneratePath, header, body)
	if err != nil {
		return nil, merry.Prepend(classifyError(err), "start attempt "+string(r.Attempt))
	}

	if err := checkStreamResponse(resp); err != nil {
		resp.Body.Close() //nolint:errcheck,gosec // the first error is returned

		return nil, merry.Prepend(err, "start attempt "+string(r.Attempt))
	}

	return newEventStream(resp.Body, r.Attempt), nil
}

func checkStreamResponse(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return classifyError(httpclient.NewStatusError(resp))
	}

	if resp.Header.Get("Content-Type") != EventStreamType {
		return merry.Wrap(ErrNotEventStream)
	}

	return nil
}

// Cancel cancels an attempt. It has no effect on an attempt that has finished.
func (e *HTTPEngine) Cancel(ctx context.Context, id AttemptID) error {
	if err := e.post(ctx, CancelPath, CancelRequest{Attempt: id}, nil); err != nil {
		return merry.Prepend(err, "cancel attempt "+string(id))
	}

	return nil
}

// ExportKV copies the KV cache of an attempt to the engine at target.
func (e *HTTPEngine) ExportKV(ctx context.Context, id AttemptID, target string) (string, error) {
	var response ExportResponse
	if err := e.post(ctx, ExportPath, ExportRequest{Attempt: id, Target: target}, &response); err != nil {
		return "", merry.Prepend(err, "export kv cache of attempt "+string(id))
	}

	return response.KV, nil
}

// Load returns the load that the engine last reported.
func (e *HTTPEngine) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	if err := e.get(ctx, LoadPath, &report); err != nil {
		return LoadReport{}, merry.Prepend(err, "read load of engine")
	}

	return report, nil
}

// CacheEvents returns the cache events after a sequence number.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	path := CacheEventsPath + "?" + AfterParam + "=" + strconv.FormatUint(after, 10)

	var events []CacheEvent
	if err := e.get(ctx, path, &events); err != nil {
		return nil, merry.Prepend(err, "read cache events of engine")
	}

	return events, nil
}

// Order sends an order. The error wraps ErrStaleFence if the engine refused the order for its
// old fencing token.
func (e *HTTPEngine) Order(ctx context.Context, o Order) error {
	err := e.post(ctx, OrderPath, o, nil)
	if err == nil {
		return nil
	}

	var status *httpclient.StatusError
	if errors.As(err, &status) && status.Status() == http.StatusConflict {
		return merry.Prepend(ErrStaleFence, "send order", merry.WithCause(err))
	}

	return merry.Prepend(err, "send order")
}

// State returns the current state of the engine.
func (e *HTTPEngine) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	if err := e.get(ctx, StatePath, &state); err != nil {
		return EngineState{}, merry.Prepend(err, "read state of engine")
	}

	return state, nil
}

func (e *HTTPEngine) get(ctx context.Context, path string, result any) error {
	return classifyError(e.client.Get(ctx, path, result))
}

func (e *HTTPEngine) post(ctx context.Context, path string, message, result any) error {
	return classifyError(e.client.Post(ctx, path, message, result))
}
