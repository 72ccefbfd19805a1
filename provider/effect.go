package provider

import (
	"errors"

	"monsoonlever/httpclient"
)

const (
	// EffectHeader tells on an error status whether the call took effect.
	EffectHeader = "X-Effect"
	// EffectNone is the value of EffectHeader for a call that did nothing.
	EffectNone = "none"
)

// hadNoEffect tells whether the platform answered with a status that says,
// together with EffectHeader, that the call did nothing.
func hadNoEffect(err error, status int) bool {
	var statusErr *httpclient.StatusError
	if !errors.As(err, &statusErr) {
		return false
	}

	return statusErr.Status() == status && statusErr.Header(EffectHeader) == EffectNone
}
