package chat

import (
	"encoding/json"
	"strconv"
)

// ChunkWriter appends the server-sent events of one streamed answer. It keeps
// what is the same in every event, so that a relayed token costs no encoding
// of the rest. It is not safe for concurrent use.
type ChunkWriter struct {
	head []byte
}

// NewChunkWriter returns a writer for the answer with an id.
func NewChunkWriter(id, model string, created int64) *ChunkWriter {
	head := []byte(`data: {"id":`)
	head = appendString(head, id)
	head = append(head, `,"object":"chat.completion.chunk","created":`...)
	head = strconv.AppendInt(head, created, 10)
	head = append(head, `,"model":`...)
	head = appendString(head, model)
	head = append(head, `,"choices":`...)

	return &ChunkWriter{head: head}
}

// AppendToken appends the event of one token. The event id, if it is not empty,
// tells a client that comes back how much of the answer it has.
func (c *ChunkWriter) AppendToken(buf, eventID []byte, offset int, token string) []byte {
	if len(eventID) > 0 {
		buf = append(buf, "id: "...)
		buf = append(buf, eventID...)
		buf = append(buf, '\n')
	}

	buf = append(buf, c.head...)
	buf = append(buf, `[{"index":0,"delta":{`...)

	if offset == 0 {
		buf = append(buf, `"role":"assistant",`...)
	}

	buf = append(buf, `"content":`...)
	buf = appendString(buf, token)
	buf = append(buf, "},\"finish_reason\":null}]}\n\n"...)

	return buf
}

// AppendFinish appends the last events: the finish reason, the usage where it
// was asked for, and the end marker.
func (c *ChunkWriter) AppendFinish(buf []byte, finish string, usage *Usage) []byte {
	buf = append(buf, c.head...)
	buf = append(buf, `[{"index":0,"delta":{},"finish_reason":`...)
	buf = appendString(buf, finish)
	buf = append(buf, "}]}\n\n"...)

	if usage != nil {
		buf = append(buf, c.head...)
		buf = append(buf, `[],"usage":{"prompt_tokens":`...)
		buf = strconv.AppendInt(buf, int64(usage.PromptTokens), 10)
		buf = append(buf, `,"completion_tokens":`...)
		buf = strconv.AppendInt(buf, int64(usage.CompletionTokens), 10)
		buf = append(buf, `,"total_tokens":`...)
		buf = strconv.AppendInt(buf, int64(usage.TotalTokens), 10)
		buf = append(buf, "}}\n\n"...)
	}

	return append(buf, "data: [DONE]\n\n"...)
}

// appendString appends s as a JSON string; plain ASCII takes the short way.
func appendString(buf []byte, s string) []byte {
	if !isPlain(s) {
		// A string always encodes.
		data, _ := json.Marshal(s)

		return append(buf, data...)
	}

	buf = append(buf, '"')
	buf = append(buf, s...)

	return append(buf, '"')
}

func isPlain(s string) bool {
	for i := range len(s) {
		if b := s[i]; b < 0x20 || b >= 0x7f || b == '"' || b == '\\' {
			return false
		}
	}

	return true
}
