package answer

import (
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Request is one accepted request for a model answer.
type Request struct {
	ID       RequestID      `msgpack:"id"`
	Account  fleet.Account  `msgpack:"account"`
	Model    fleet.Model    `msgpack:"model"`
	Prompt   string         `msgpack:"prompt"`
	Priority fleet.Priority `msgpack:"priority"`
	// MaxTokens bounds the whole answer, with the tokens that are kept.
	MaxTokens int       `msgpack:"maxTokens"`
	Deadline  time.Time `msgpack:"deadline"`
	// PromptPrefix is the hash by which prompts that share a prefix are known.
	PromptPrefix uint64 `msgpack:"promptPrefix"`
}

func (r Request) generate(d Dispatch, kv string) backend.GenerateRequest {
	return backend.GenerateRequest{
		Attempt:   d.Attempt,
		Model:     r.Model,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Priority:  r.Priority,
		Generated: d.Generated,
		KV:        kv,
	}
}
