package forward

import (
	"errors"

	"k8s.io/klog/v2"

	"monsoonlever/buffer"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// cutCause names the bound of this instance at which a response was cut.
type cutCause string

// The bounds.
const (
	cutHeader     cutCause = "header"
	cutHeaderTime cutCause = "headerTime"
	cutLength     cutCause = "length"
	cutMemory     cutCause = "memory"
)

var cutCauses = []cutCause{cutHeader, cutHeaderTime, cutLength, cutMemory}

// cutCauseOf returns the bound that ended an attempt with err, or an empty text.
func cutCauseOf(err error) cutCause {
	switch {
	case errors.Is(err, upstream.ErrHeaderTooLong):
		return cutHeader
	case errors.Is(err, upstream.ErrHeaderTooSlow):
		return cutHeaderTime
	case errors.Is(err, buffer.ErrTooLong):
		return cutLength
	case errors.Is(err, buffer.ErrExhausted):
		return cutMemory
	default:
		return ""
	}
}

// recordCut logs and counts a response that exceeded a bound. The request may be answered by another
// server, so that its outcome does not show it.
func (f *Forwarder) recordCut(j *job, a *scheduling.Assignment, err error) {
	cause := cutCauseOf(err)
	if cause == "" {
		return
	}

	f.Counters.recordCut(cause)
	klog.InfoS("response of a backend server was cut", "id", j.request.ID, "server", a.ID(), "bound", cause, "err", err.Error())
}
