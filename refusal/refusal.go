package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Refusal is the error of a refused request.
type Refusal struct {
	code       Code
	run        RunState
	message    string
	retryAfter time.Duration
}

// New returns a refusal with the run state of its code.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, run: code.Run(), message: fmt.Sprintf(format, args...)}
}

// WithRun returns a copy with another run state than that of its code.
func (r Refusal) WithRun(run RunState) *Refusal {
	r.run = run

	return &r
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.retryAfter = d

	return &r
}

// Code returns the code of the refusal.
func (r *Refusal) Code() Code {
	return r.code
}

// Run returns the run state: whether the request ran.
func (r *Refusal) Run() RunState {
	return r.run
}

// RetryAfter returns the time to wait before a retry, or 0 if none is recommended.
func (r *Refusal) RetryAfter() time.Duration {
	return r.retryAfter
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.code) + ": " + r.message
}

// Body is the JSON response body of a refusal.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of Body.
type Detail struct {
	Code    Code     `json:"code"`
	Type    string   `json:"type"`
	Message string   `json:"message"`
	Run     RunState `json:"run"`
	// RetryAfterSeconds has the same value as the Retry-After header.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Body returns the JSON response body.
func (r *Refusal) Body() Body {
	return Body{Error: Detail{
		Code:              r.code,
		Type:              "refusal",
		Message:           r.message,
		Run:               r.run,
		RetryAfterSeconds: r.retryAfterSeconds(),
	}}
}

// Write sends the refusal as a complete HTTP response.
func (r *Refusal) Write(w http.ResponseWriter) {
	if s := r.retryAfterSeconds(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.code.Status())
	// Ignores write errors: the caller has disconnected.
	_ = json.NewEncoder(w).Encode(r.Body())
}

// retryAfterSeconds returns the retry delay rounded up, since the Retry-After header
// has a resolution of one second.
func (r *Refusal) retryAfterSeconds() int {
	return int(math.Ceil(r.retryAfter.Seconds()))
}
