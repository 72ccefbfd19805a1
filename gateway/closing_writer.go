package gateway

import "net/http"

// closingWriter asks callers of a stopping instance to use another connection
// for their next request. A connection that is closed under a request which is
// just being sent would cut it, and the caller could not tell whether it ran.
type closingWriter struct {
	http.ResponseWriter
	gateway *Gateway
	started bool
}

// WriteHeader begins the response.
func (c *closingWriter) WriteHeader(status int) {
	c.start()
	c.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (c *closingWriter) Write(b []byte) (int, error) {
	c.start()

	return c.ResponseWriter.Write(b)
}

// Unwrap lets a response controller reach the connection.
func (c *closingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}

func (c *closingWriter) start() {
	if !c.started && c.gateway.Stopping() {
		c.Header().Set("Connection", "close")
	}

	c.started = true
}
