package gateway

import (
	"net/http"
	"time"

	"monsoonlever/refusal"
)

// The headers by which a caller limits how long it waits.
const (
	// HeaderDeadline is a time in RFC 3339 format.
	HeaderDeadline = "X-Deadline"
	// HeaderTimeout is a duration such as "2s".
	HeaderTimeout = "X-Timeout"
)

// maxDeadline is the longest time from now that a caller may set as deadline.
const maxDeadline = 24 * time.Hour

// requestDeadline returns the earlier of HeaderTimeout and HeaderDeadline, or
// fallback from now if the request has neither.
func requestDeadline(h http.Header, now time.Time, fallback time.Duration) (time.Time, *refusal.Refusal) {
	deadline := now.Add(fallback)
	hasTimeout := false

	if text := h.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return time.Time{}, refusal.New(refusal.BadRequest, "%s must be a positive duration such as 2s", HeaderTimeout)
		}

		deadline = now.Add(d)
		hasTimeout = true
	}

	if text := h.Get(HeaderDeadline); text != "" {
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, refusal.New(refusal.BadRequest, "%s must be a time in RFC 3339", HeaderDeadline)
		}

		if !hasTimeout || parsed.Before(deadline) {
			deadline = parsed
		}
	}

	if deadline.Sub(now) > maxDeadline {
		return time.Time{}, refusal.New(refusal.BadRequest, "the deadline is more than %v away", maxDeadline)
	}

	if !deadline.After(now) {
		return time.Time{}, refusal.New(refusal.DeadlinePassed, "the deadline has passed").WithRun(refusal.NotRun)
	}

	return deadline, nil
}
