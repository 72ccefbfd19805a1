package gateway

import (
	"sync"
	"time"

	"monsoonlever/answer"
)

// keptTimes joins what the caller's side and the engines' side of a kept answer
// know of it.
type keptTimes struct {
	mu    sync.Mutex
	first time.Time
	ended answer.Result
}

// begin notes when the caller got its first token.
func (k *keptTimes) begin(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.first.IsZero() {
		k.first = at
	}
}

// firstToken returns how long the caller waited for its first token.
func (k *keptTimes) firstToken(arrived time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.first.IsZero() {
		return 0
	}

	return k.first.Sub(arrived)
}

// end notes how the work at the answer ended.
func (k *keptTimes) end(r answer.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.ended = r
}

func (k *keptTimes) result() answer.Result {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.ended
}
