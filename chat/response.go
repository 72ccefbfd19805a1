package chat

// Usage is the number of tokens of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Response is a complete answer that is not streamed.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one completion of a response.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// NewResponse returns a response with one choice; created is in Unix seconds.
func NewResponse(id, model string, created int64, text, finish string, usage Usage) Response {
	return Response{
		ID:      id,
		Object:  "chat.completion",
		Created: created,
		Model:   model,
		Choices: []Choice{{Message: Message{Role: "assistant", Content: Content(text)}, FinishReason: finish}},
		Usage:   usage,
	}
}
