package gateway

import "net/http"

// closingWriter sets "Connection: close" on the responses of a stopping instance, so
// that callers open another connection for their next request. Without it the
// instance might close a connection while a request is being sent on it, and the
// caller could not know whether that request ran.
type closingWriter struct {
	http.ResponseWriter
	gateway *Gateway
	started bool
}

// WriteHeader sends the header of the response.
func (c *closingWriter) WriteHeader(status int) {
	c.start()
	c.ResponseWriter.WriteHeader(status)
}

// Write writes a chunk of the body.
func (c *closingWriter) Write(b []byte) (int, error) {
	c.start()

	return c.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (c *closingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}

func (c *closingWriter) start() {
	if !c.started && c.gateway.Stopping() {
		c.Header().Set("Connection", "close")
	}

	c.started = true
}
