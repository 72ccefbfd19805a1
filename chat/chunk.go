package chat

import (
	"encoding/json"
	"strconv"
)

// ChunkWriter appends the server-sent events of one streamed answer. It encodes the
// constant start of the events once, so that only the token is encoded for each
// event. It is not safe for concurrent use.
type ChunkWriter struct {
	prefix []byte
}

// NewChunkWriter returns a writer for the answer with the given ID; created is in Unix
// seconds.
func NewChunkWriter(id, model string, created int64) *ChunkWriter {
	prefix := []byte(`data: {"id":`)
	prefix = appendString(prefix, id)
	prefix = append(prefix, `,"object":"chat.completion.chunk","created":`...)
	prefix = strconv.AppendInt(prefix, created, 10)
	prefix = append(prefix, `,"model":`...)
	prefix = appendString(prefix, model)
	prefix = append(prefix, `,"choices":`...)

	return &ChunkWriter{prefix: prefix}
}

// AppendToken appends the event of one token. A client that resumes the stream sends
// the event ID back, if it is not empty, to say which part of the answer it has.
func (c *ChunkWriter) AppendToken(buf, eventID []byte, offset int, token string) []byte {
	if len(eventID) > 0 {
		buf = append(buf, "id: "...)
		buf = append(buf, eventID...)
		buf = append(buf, '\n')
	}

	buf = append(buf, c.prefix...)
	buf = append(buf, `[{"index":0,"delta":{`...)

	if offset == 0 {
		buf = append(buf, `"role":"assistant",`...)
	}

	buf = append(buf, `"content":`...)
	buf = appendString(buf, token)
	buf = append(buf, "},\"finish_reason\":null}]}\n\n"...)

	return buf
}

// AppendFinish appends the last events: the finish reason, the usage unless it is nil,
// and the end marker.
func (c *ChunkWriter) AppendFinish(buf []byte, finish string, usage *Usage) []byte {
	buf = append(buf, c.prefix...)
	buf = append(buf, `[{"index":0,"delta":{},"finish_reason":`...)
	buf = appendString(buf, finish)
	buf = append(buf, "}]}\n\n"...)

	if usage != nil {
		buf = append(buf, c.prefix...)
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

// appendString appends s as a JSON string. It copies printable ASCII without
// encoding it.
func appendString(buf []byte, s string) []byte {
	if !isPlainASCII(s) {
		// Encoding a string never fails.
		data, _ := json.Marshal(s)

		return append(buf, data...)
	}

	buf = append(buf, '"')
	buf = append(buf, s...)

	return append(buf, '"')
}

func isPlainASCII(s string) bool {
	for i := range len(s) {
		if b := s[i]; b < 0x20 || b >= 0x7f || b == '"' || b == '\\' {
			return false
		}
	}

	return true
}
