package gossip

import (
	"context"
	"sync"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	// ReplyTimeout is how long a reply is waited for: some ten round trips between
	// failure domains, and little against the objective of a large request.
	ReplyTimeout = 60 * time.Millisecond
	// silentSpan is how long an instance that did not reply is not asked again: it may be
	// gone, and each question would wait for it.
	silentSpan = 300 * time.Millisecond
)

// Requests asks other instances and matches their replies, of type T. Requests and
// replies are datagrams, any of which may be lost. The zero value is ready for use.
type Requests[T any] struct {
	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan T
	// silent are the instances that did not reply, and when.
	silent map[fleet.InstanceID]time.Time
}

// Do has send ask another instance a question with a number, and returns the reply. It
// returns false if none comes in time, if the instance did not reply a moment ago, or if
// ctx ends.
func (q *Requests[T]) Do(ctx context.Context, clk clock.Clock, to fleet.InstanceID, send func(number uint64)) (T, bool) {
	var none T

	number, replies, ok := q.open(clk.Now(), to)
	if !ok {
		return none, false
	}
	defer q.close(number)

	send(number)

	select {
	case reply := <-replies:
		q.replied(to)

		return reply, true
	case <-clk.After(ReplyTimeout):
		q.missed(clk.Now(), to)
	case <-ctx.Done():
	}

	return none, false
}

// Reply takes the reply to a question in. One that comes too late is dropped.
func (q *Requests[T]) Reply(number uint64, reply T) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if waiting := q.waiting[number]; waiting != nil {
		delete(q.waiting, number)
		waiting <- reply
	}
}

func (q *Requests[T]) open(now time.Time, to fleet.InstanceID) (uint64, <-chan T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if at, ok := q.silent[to]; ok && now.Sub(at) < silentSpan {
		return 0, nil, false
	}

	if q.waiting == nil {
		q.waiting = make(map[uint64]chan T)
		q.silent = make(map[fleet.InstanceID]time.Time)
	}

	q.number++
	// The buffer lets a reply go that nobody waits for any more.
	replies := make(chan T, 1)
	q.waiting[q.number] = replies

	return q.number, replies, true
}

func (q *Requests[T]) close(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
}

func (q *Requests[T]) replied(by fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.silent, by)
}

func (q *Requests[T]) missed(now time.Time, by fleet.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[by] = now
}
