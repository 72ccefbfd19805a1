package backend

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
)

const (
	// ExecutionHeader states in a response with status 503 or 429 whether the call was started.
	ExecutionHeader = "X-Execution"
	// ExecutionNotStarted is the value of ExecutionHeader for a call that was refused before
	// it ran.
	ExecutionNotStarted = "not-started"
)

// classifyError turns an error of the HTTP client into an error of this package. The result
// wraps ErrNotSent if the request was not sent, and ErrRefused if the response states that the
// call was not started. Other errors are returned unchanged.
func classifyError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}

	var status *httpclient.StatusError
	if errors.As(err, &status) && isNotStarted(status.Status(), status.Header(ExecutionHeader)) {
		return merry.Wrap(ErrRefused, merry.WithCause(err))
	}

	return err
}

func isNotStarted(status int, execution string) bool {
	if execution != ExecutionNotStarted {
		return false
	}

	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
