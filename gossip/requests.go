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
	// silentRetryDelay is how long an instance that did not reply is not asked again: it may be
	// gone, and each question would wait for it.
	silentRetryDelay = 300 * time.Millisecond
)

// Requests asks other instances and matches their replies, of type T. Requests and
// replies are datagrams, any of which may be lost. The zero value is ready for use.
type Requests[T any] struct {
	mu      sync.Mutex
	number  uint64
	pending map[uint64]chan T
	// silentSince are the instances that did not reply, and when.
	silentSince map[fleet.InstanceID]time.Time
}

// Do has send ask another instance a question with a number, and returns the reply. It
// returns false if none comes in time, if the instance did not reply a moment ago, or if
// ctx ends.
func (r *Requests[T]) Do(ctx context.Context, clk clock.Clock, to fleet.InstanceID, send func(number uint64)) (T, bool) {
	var none T

	number, replies, ok := r.open(clk.Now(), to)
	if !ok {
		return none, false
	}
	defer r.close(number)

	send(number)

	select {
	case reply := <-replies:
		r.markResponsive(to)

		return reply, true
	case <-clk.After(ReplyTimeout):
		r.markSilent(clk.Now(), to)
	case <-ctx.Done():
	}

	return none, false
}

// Reply takes the reply to a question in. One that comes too late is dropped.
func (r *Requests[T]) Reply(number uint64, reply T) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if replies := r.pending[number]; replies != nil {
		delete(r.pending, number)
		replies <- reply
	}
}

func (r *Requests[T]) open(now time.Time, to fleet.InstanceID) (uint64, <-chan T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if at, ok := r.silentSince[to]; ok && now.Sub(at) < silentRetryDelay {
		return 0, nil, false
	}

	if r.pending == nil {
		r.pending = make(map[uint64]chan T)
		r.silentSince = make(map[fleet.InstanceID]time.Time)
	}

	r.number++
	// The buffer lets a reply go that nobody waits for any more.
	replies := make(chan T, 1)
	r.pending[r.number] = replies

	return r.number, replies, true
}

func (r *Requests[T]) close(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, number)
}

func (r *Requests[T]) markResponsive(by fleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silentSince, by)
}

func (r *Requests[T]) markSilent(now time.Time, by fleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentSince[by] = now
}
