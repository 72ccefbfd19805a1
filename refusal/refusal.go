package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Refusal is one refused request. It is an error.
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

// WithRun returns a copy that says otherwise of whether the request ran.
func (r Refusal) WithRun(run RunState) *Refusal {
	r.run = run

	return &r
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.retryAfter = d

	return &r
}

// Code returns the code of the refusal.
func (r *Refusal) Code() Code {
	return r.code
}

// Run tells whether the request ran.
func (r *Refusal) Run() RunState {
	return r.run
}

// RetryAfter returns when to come back, or 0 where that is of no use.
func (r *Refusal) RetryAfter() time.Duration {
	return r.retryAfter
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.code) + ": " + r.message
}

// Body is the JSON form of a refusal.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of Body.
type Detail struct {
	Code    Code     `json:"code"`
	Type    string   `json:"type"`
	Message string   `json:"message"`
	Run     RunState `json:"run"`
	// RetryAfterSeconds repeats the Retry-After header.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Body returns the JSON form.
func (r *Refusal) Body() Body {
	return Body{Error: Detail{
		Code:              r.code,
		Type:              "refusal",
		Message:           r.message,
		Run:               r.run,
		RetryAfterSeconds: r.retryAfterSeconds(),
	}}
}

// Write sends the refusal as the whole response.
func (r *Refusal) Write(w http.ResponseWriter) {
	if s := r.retryAfterSeconds(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.code.Status())
	// The caller is gone if this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(r.Body())
}

// retryAfterSeconds rounds up, since the header knows whole seconds only.
func (r *Refusal) retryAfterSeconds() int {
	return int(math.Ceil(r.retryAfter.Seconds()))
}
