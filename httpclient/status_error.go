package httpclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

const maxErrorBodyBytes = 512

// StatusError is a response whose status is not a success.
type StatusError struct {
	status  int
	header  http.Header
	message string
}

// NewStatusError returns the error for a response. It reads the first maxErrorBodyBytes of the
// body.
func NewStatusError(resp *http.Response) *StatusError {
	message, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		message = []byte("unreadable body")
	}

	return &StatusError{
		status:  resp.StatusCode,
		header:  resp.Header,
		message: string(bytes.TrimSpace(message)),
	}
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int {
	return e.status
}

// Header returns the first value of a response header.
func (e *StatusError) Header(key string) string {
	return e.header.Get(key)
}
