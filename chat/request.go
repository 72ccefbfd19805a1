// Package chat defines the wire types of the OpenAI-compatible chat completions
// API, and builds the prompt of a request.
//
// Unused fields are accepted and ignored, since clients of the API send many of
// them.
//
// # Usage
//
//	request, err := chat.ParseRequest(body)
//	prompt := request.Prompt()
//	data := chat.NewChunkWriter(id, request.Model, created).AppendToken(nil, nil, 0, token)
package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

const (
	// DefaultMaxTokens is the maximum length in tokens of an answer whose request sets
	// none.
	DefaultMaxTokens = 2048
	// MaxTokensLimit is the highest maximum length in tokens that a request may set. It
	// keeps token estimates from overflowing.
	MaxTokensLimit = 1 << 20
)

// Message is one message of a conversation.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Request is a request for a completion.
type Request struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
}

// StreamOptions request additional events of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseRequest decodes and validates a request.
func ParseRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return Request{}, fmt.Errorf("decode request: %w", err)
	}

	if r.Model == "" {
		return Request{}, errors.New("model is missing")
	}

	if len(r.Messages) == 0 {
		return Request{}, errors.New("messages is empty")
	}

	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return Request{}, errors.New("max_tokens is negative")
	}

	if r.MaxOutputTokens() > MaxTokensLimit {
		return Request{}, fmt.Errorf("max_tokens is greater than %d", MaxTokensLimit)
	}

	return r, nil
}

// Prompt returns the text that is sent to the model engine.
func (r Request) Prompt() string {
	var b strings.Builder

	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}

	return b.String()
}

// MaxOutputTokens returns the maximum length of the answer in tokens.
func (r Request) MaxOutputTokens() int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	default:
		return DefaultMaxTokens
	}
}
