package dispatch

import "monsoonlever/backend"

// notSentError is an error that occurred before any byte of a call was sent.
type notSentError struct {
	cause error
}

func notSent(cause error) error {
	return &notSentError{cause: cause}
}

// Error returns the text of the cause.
func (e *notSentError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause and backend.ErrNotSent.
func (e *notSentError) Unwrap() []error {
	return []error{e.cause, backend.ErrNotSent}
}
