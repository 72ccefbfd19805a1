package httpclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

const maxErrorBodyBytes = 512

// StatusError is an answer with a status that is not a success.
type StatusError struct {
	status  int
	header  http.Header
	message string
}

// NewStatusError returns the error of an answer, of which it reads a little.
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

// Error returns the status and the first bytes of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int {
	return e.status
}

// Header returns the first value of a header of the answer.
func (e *StatusError) Header(key string) string {
	return e.header.Get(key)
}
