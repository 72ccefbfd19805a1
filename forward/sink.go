package forward

import "net/http"

// Sink takes the answer to one request. Its methods are called from one goroutine.
type Sink interface {
	// WriteResponse writes a whole answer.
	WriteResponse(status int, header http.Header, body []byte) error
	// BeginStream writes the header of a stream.
	BeginStream(status int, header http.Header) error
	// WriteEvent writes one event of a stream and sends it on.
	WriteEvent(event []byte) error
	// Refuse writes a final answer of our own. After Begin it breaks the stream
	// off, so that it does not look complete.
	Refuse(Refusal)
}
