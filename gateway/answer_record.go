package gateway

import (
	"sync"
	"time"

	"monsoonlever/answer"
)

// answerRecord holds the measurements of a retained answer that are shared between the
// goroutine that streams it to the caller and the one that generates it.
type answerRecord struct {
	mu           sync.Mutex
	firstTokenAt time.Time
	final        answer.Result
}

// setFirstToken records the time at which the first token was sent to the caller.
// Later calls have no effect.
func (r *answerRecord) setFirstToken(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = at
	}
}

// timeToFirstToken returns the time from the arrival of the request to its first
// token, or 0 if no token was sent.
func (r *answerRecord) timeToFirstToken(arrived time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.firstTokenAt.IsZero() {
		return 0
	}

	return r.firstTokenAt.Sub(arrived)
}

// setResult records the result of generating the answer on this instance.
func (r *answerRecord) setResult(result answer.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.final = result
}

func (r *answerRecord) result() answer.Result {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.final
}
