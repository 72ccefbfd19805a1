package daemon

import (
	"fmt"
	"net/http"
	"strings"
)

// plainResponse renders a response for a connection that no server reads.
type plainResponse struct {
	header http.Header
	status int
	body   *strings.Builder
}

// Header returns the header to fill.
func (r *plainResponse) Header() http.Header {
	return r.header
}

// WriteHeader takes the status.
func (r *plainResponse) WriteHeader(status int) {
	r.status = status
}

// Write takes a part of the body.
func (r *plainResponse) Write(b []byte) (int, error) {
	return r.body.Write(b)
}

// bytes returns the whole response, after which the connection is closed.
func (r *plainResponse) bytes() []byte {
	var b strings.Builder

	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	r.header.Set("Connection", "close")
	r.header.Set("Content-Length", fmt.Sprint(r.body.Len()))
	// A strings.Builder takes every write.
	_ = r.header.Write(&b)
	b.WriteString("\r\n")
	b.WriteString(r.body.String())

	return []byte(b.String())
}
