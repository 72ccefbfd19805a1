package backend

import (
	"context"
	"errors"
	"time"

	"monsoonlever/fleet"
)

// AttemptID identifies one attempt at a request on one backend server.
type AttemptID string

// GenerateRequest asks an engine to generate the remaining tokens of an answer.
type GenerateRequest struct {
	Attempt   AttemptID      `json:"attempt"`
	Model     fleet.Model    `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"maxTokens"`
	Priority  fleet.Priority `json:"priority"`
	// Generated holds the tokens of the answer that earlier attempts generated. The engine
	// continues after them, so the length of Generated is the first offset in the stream.
	Generated []string `json:"generated,omitempty"`
	// KV names an imported KV cache that replaces the prefill. It is empty if there is none.
	KV string `json:"kv,omitempty"`
}

// TokenEvent is one event of a generate stream: a token, or the finish as the last event.
type TokenEvent struct {
	Attempt AttemptID `json:"attempt"`
	// Offset is the index of Token in the full answer, starting at 0.
	Offset int    `json:"offset"`
	Token  string `json:"token"`
	// Finish is "stop" or "length" in the last event and empty in all others.
	Finish string `json:"finish,omitempty"`
	// Usage is set in the last event.
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
	// Next returns the next event. It returns io.EOF after the finish event, and
	// io.ErrUnexpectedEOF if the stream ended without a finish event.
	Next() (TokenEvent, error)
	Close() error
}

// LoadReport is the load that a backend server last reported. It lags behind the actual load.
type LoadReport struct {
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Capacity int       `json:"capacity"`
	Leaving  bool      `json:"leaving"`
}

// CacheEvent reports that a prompt prefix was added to an engine's cache or evicted from it.
// Events are delayed and Sequence may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// Order tells an engine its full desired state.
type Order struct {
	// Fence is the fencing token of the sender's lease.
	Fence   uint64             `json:"fence"`
	Model   fleet.Model        `json:"model"`
	Version fleet.ModelVersion `json:"version"`
	Adapter string             `json:"adapter"`
	Role    string             `json:"role"`
}

// EngineState is the current state of an engine.
type EngineState struct {
	Fence   uint64             `json:"fence"`
	Model   fleet.Model        `json:"model"`
	Version fleet.ModelVersion `json:"version"`
	Adapter string             `json:"adapter"`
	Role    string             `json:"role"`
	Ready   bool               `json:"ready"`
	// ChecksFence reports whether the engine refuses orders with an old fencing token.
	ChecksFence bool `json:"checksFence"`
}

// Engine is a model engine on a backend server.
type Engine interface {
	Generate(ctx context.Context, r GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, id AttemptID) error
	// ExportKV copies the KV cache of an attempt to the engine at target. It returns the name
	// of the copy on that engine.
	ExportKV(ctx context.Context, id AttemptID, target string) (string, error)
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) error
	State(ctx context.Context) (EngineState, error)
}

// Errors that state whether a call ran. After an error that wraps none of them, the call may
// have run.
var (
	// ErrNotSent means that no byte of the call left this process.
	ErrNotSent = errors.New("call was not sent")
	// ErrRefused means that the backend server refused the call before running it.
	ErrRefused = errors.New("backend server refused the call")
	// ErrStaleFence means that the engine refused an order since it has seen a newer fencing
	// token.
	ErrStaleFence = errors.New("fencing number is too old")
)
