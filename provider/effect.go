package provider

import (
	"errors"

	"monsoonlever/httpclient"
)

const (
	// EffectHeader states in an error response whether the call took effect.
	EffectHeader = "X-Effect"
	// EffectNone is the value of EffectHeader for a call that had no effect.
	EffectNone = "none"
)

// hadNoEffect reports whether err is a response with the given status whose EffectHeader states
// that the call had no effect.
func hadNoEffect(err error, status int) bool {
	var statusErr *httpclient.StatusError
	if !errors.As(err, &statusErr) {
		return false
	}

	return statusErr.Status() == status && statusErr.Header(EffectHeader) == EffectNone
}
