package backend

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
)

const (
	// ExecutionHeader tells on a 503 or 429 whether the call was started.
	ExecutionHeader = "X-Execution"
	// ExecutionNotStarted is its value for a call that was refused before it ran.
	ExecutionNotStarted = "not-started"

	maxErrorBytes = 512
)

// StatusError is an answer with a status that is not a success.
type StatusError struct {
	status  int
	message string
}

// Error returns the status and the first bytes of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int {
	return e.status
}

// errorOf returns the error of an answer that is not a success. It wraps
// ErrRefused only where the backend server said that it did not start.
func errorOf(resp *http.Response) error {
	message, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		message = []byte("unreadable body")
	}

	status := &StatusError{status: resp.StatusCode, message: string(bytes.TrimSpace(message))}
	if notStarted(resp) {
		return merry.Wrap(ErrRefused, merry.WithCause(status))
	}

	return merry.Wrap(status)
}

func notStarted(resp *http.Response) bool {
	if resp.Header.Get(ExecutionHeader) != ExecutionNotStarted {
		return false
	}

	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}
