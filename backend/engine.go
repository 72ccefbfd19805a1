package backend

import (
	"context"
	"errors"
	"time"

	"monsoonlever/fleet"
)

// AttemptID names one attempt at a request on one backend server.
type AttemptID string

// GenerateRequest asks an engine for the rest of an answer.
type GenerateRequest struct {
	Attempt   AttemptID      `json:"attempt"`
	Model     fleet.Model    `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"maxTokens"`
	Priority  fleet.Priority `json:"priority"`
	// Generated holds the tokens of the answer that are kept already; the
	// engine continues after them. Its length is the first offset streamed.
	Generated []string `json:"generated,omitempty"`
	// KV names an imported KV cache that spares the prefill, if any.
	KV string `json:"kv,omitempty"`
}

// TokenEvent is one event of a generate stream: a token or, last, the finish.
type TokenEvent struct {
	Attempt AttemptID `json:"attempt"`
	// Offset is the place of Token in the whole answer, from 0.
	Offset int    `json:"offset"`
	Token  string `json:"token"`
	// Finish is empty but for the last event: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// Usage is set on the last event.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of one attempt.
type Usage struct {
	PromptTokens    int `json:"promptTokens"`
	CachedTokens    int `json:"cachedTokens"`
	PrefilledTokens int `json:"prefilledTokens"`
	DecodedTokens   int `json:"decodedTokens"`
}

// TokenStream yields the events of one attempt.
type TokenStream interface {
	// Next returns io.EOF after the finish event, and io.ErrUnexpectedEOF if
	// the stream ended without one.
	Next() (TokenEvent, error)
	Close() error
}

// LoadReport is what a backend server last said of its load; it lags.
type LoadReport struct {
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Capacity int       `json:"capacity"`
	Leaving  bool      `json:"leaving"`
}

// CacheEvent says that a prompt prefix entered or left an engine's cache.
// Events come late and Sequence may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// Order tells an engine the absolute state that is wanted of it.
type Order struct {
	// Fence is the fencing number of the lease under which the order is given.
	Fence   uint64             `json:"fence"`
	Model   fleet.Model        `json:"model"`
	Version fleet.ModelVersion `json:"version"`
	Adapter string             `json:"adapter"`
	Role    string             `json:"role"`
}

// EngineState is what an engine holds at present.
type EngineState struct {
	Fence   uint64             `json:"fence"`
	Model   fleet.Model        `json:"model"`
	Version fleet.ModelVersion `json:"version"`
	Adapter string             `json:"adapter"`
	Role    string             `json:"role"`
	Ready   bool               `json:"ready"`
	// ChecksFence tells whether the engine refuses orders with an old fence.
	ChecksFence bool `json:"checksFence"`
}

// Engine is a model engine on a backend server.
type Engine interface {
	Generate(ctx context.Context, r GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, id AttemptID) error
	// ExportKV copies the KV cache of an attempt to the engine at target and
	// returns the name under which that engine holds it.
	ExportKV(ctx context.Context, id AttemptID, target string) (string, error)
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (EngineState, error)
}

// The errors that say something of whether a call ran. An error that wraps
// neither leaves it unknown.
var (
	// ErrNotSent means that no byte of the call left this process.
	ErrNotSent = errors.New("call was not sent")
	// ErrRefused means that the backend server refused the call before running it.
	ErrRefused = errors.New("backend server refused the call")
	// ErrStaleFence means that the engine has seen a newer fencing number.
	ErrStaleFence = errors.New("fencing number is too old")
)
