package forward

import (
	"net/http"

	"monsoonlever/fleet"
)

// Sink writes the answer to one request. Its methods are called from one goroutine.
type Sink interface {
	// WriteResponse writes a complete response.
	WriteResponse(status int, header http.Header, body []byte) error
	// StreamVersion tells the version of the server that began a stream, before BeginStream.
	StreamVersion(fleet.Version)
	// BeginStream writes the header of a stream. It is called once at most.
	BeginStream(status int, header http.Header) error
	// WriteEvent writes one event of a stream and flushes it.
	WriteEvent(event []byte) error
	// Refuse writes a refusal as the final answer. After BeginStream it aborts the stream,
	// so that the caller does not take it for complete.
	Refuse(Refusal)
}
