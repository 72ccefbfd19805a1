package gateway

import (
	"net/http"
	"time"

	"monsoonlever/refusal"
)

// The headers by which a caller bounds its wait.
const (
	// HeaderDeadline holds a point in time, RFC 3339.
	HeaderDeadline = "X-Deadline"
	// HeaderTimeout holds a duration such as "2s".
	HeaderTimeout = "X-Timeout"
)

// maxDeadline bounds how long a caller may ask an instance to work for it.
const maxDeadline = 24 * time.Hour

// requestDeadline returns the earlier of the caller's bounds, or fallback from now.
func requestDeadline(h http.Header, now time.Time, fallback time.Duration) (time.Time, *refusal.Refusal) {
	deadline := now.Add(fallback)
	bounded := false

	if text := h.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return time.Time{}, refusal.New(refusal.BadRequest, "%s must be a positive duration such as 2s", HeaderTimeout)
		}

		deadline = now.Add(d)
		bounded = true
	}

	if text := h.Get(HeaderDeadline); text != "" {
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, refusal.New(refusal.BadRequest, "%s must be a time in RFC 3339", HeaderDeadline)
		}

		if !bounded || parsed.Before(deadline) {
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
