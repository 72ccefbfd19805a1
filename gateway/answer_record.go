package gateway

import (
	"sync"
	"time"

	"monsoonlever/answer"
)

// answerRecord joins what the caller's side and the engines' side of a kept answer
// know of it.
type answerRecord struct {
	mu           sync.Mutex
	firstTokenAt time.Time
	final        answer.Result
}

// setFirstToken notes when the caller got its first token.
func (k *answerRecord) setFirstToken(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.firstTokenAt.IsZero() {
		k.firstTokenAt = at
	}
}

// timeToFirstToken returns how long the caller waited for its first token.
func (k *answerRecord) timeToFirstToken(arrived time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.firstTokenAt.IsZero() {
		return 0
	}

	return k.firstTokenAt.Sub(arrived)
}

// setResult notes how the work at the answer ended.
func (k *answerRecord) setResult(r answer.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.final = r
}

func (k *answerRecord) result() answer.Result {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.final
}
