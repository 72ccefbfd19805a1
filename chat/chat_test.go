package chat

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	tests := []struct {
		desc   string
		body   string
		prompt string
		limit  int
		err    string
	}{
		{
			desc:   "string content",
			body:   `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":7,"temperature":0}`,
			prompt: "user: hi\n", limit: 7,
		},
		{
			desc:   "list of parts and max_completion_tokens",
			body:   `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"max_tokens":7,"max_completion_tokens":9}`,
			prompt: "user: ab\n", limit: 9,
		},
		{desc: "null content", body: `{"model":"m","messages":[{"role":"user","content":null}]}`, prompt: "user: \n", limit: DefaultMaxTokens},
		{desc: "incomplete JSON", body: `{"model":`, err: "decode request"},
		{desc: "no model", body: `{"messages":[{"role":"user","content":"x"}]}`, err: "model is missing"},
		{desc: "no messages", body: `{"model":"m"}`, err: "messages is empty"},
		{desc: "negative limit", body: `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`, err: "negative"},
		{desc: "limit that would overflow", body: `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":9223372036854775807}`, err: "greater than"},
		{desc: "an image", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, err: "not supported"},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r, err := ParseRequest([]byte(tt.body))
			if tt.err != "" {
				if err == nil || !strings.Contains(err.Error(), tt.err) {
					t.Fatalf("error: got %v, want one with %q", err, tt.err)
				}

				return
			}

			if err != nil {
				t.Fatalf("error: got %v, want none", err)
			}

			if got := r.Prompt(); got != tt.prompt {
				t.Errorf("prompt: got %q, want %q", got, tt.prompt)
			}

			if got := r.MaxOutputTokens(); got != tt.limit {
				t.Errorf("limit: got %d, want %d", got, tt.limit)
			}
		})
	}
}

func TestChunksAreValidJSON(t *testing.T) {
	for _, token := range []string{"word ", `a "quoted" \ one`, "tab\tnewline\n", "æøå ሀ", ""} {
		c := NewChunkWriter("id-1", "model", 5)
		event := c.AppendToken(nil, []byte("id-1.4"), 3, token)

		first, data, found := bytes.Cut(event, []byte("\n"))
		if !found || string(first) != "id: id-1.4" {
			t.Fatalf("event id: got %q, want id: id-1.4", first)
		}

		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(bytes.TrimPrefix(data, []byte("data: ")), &chunk); err != nil {
			t.Fatalf("token %q: %v in %s", token, err, data)
		}

		if got := chunk.Choices[0].Delta.Content; got != token {
			t.Errorf("content: got %q, want %q", got, token)
		}
	}
}

func BenchmarkAppendToken(b *testing.B) {
	c := NewChunkWriter("id-1", "model", 5)
	buf := make([]byte, 0, 4096)

	b.ReportAllocs()

	for i := range b.N {
		buf = c.AppendToken(buf[:0], nil, i, "word ")
	}
}
