package gossip

import (
	"context"
	"sync"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	// ReplyTimeout is how long Do waits for a reply: about ten round trips between failure
	// domains, and little compared with the latency objective of a large request.
	ReplyTimeout = 60 * time.Millisecond
	// silentRetryDelay is how long no request is sent to an instance that did not reply. It may
	// have terminated, and each request would wait for the timeout.
	silentRetryDelay = 300 * time.Millisecond
)

// Requests sends requests to other instances and matches their replies, of type T. Requests and
// replies are datagrams, any of which may be lost. The zero value is ready for use.
type Requests[T any] struct {
	mu      sync.Mutex
	number  uint64
	pending map[uint64]chan T
	// silentSince is when each silent instance last failed to reply.
	silentSince map[fleet.InstanceID]time.Time
}

// Do calls send with a new request number to send a request to another instance, and returns
// the reply. It returns false if no reply arrives within ReplyTimeout, if the instance failed
// to reply less than silentRetryDelay ago, or if ctx ends.
func (r *Requests[T]) Do(ctx context.Context, clk clock.Clock, to fleet.InstanceID, send func(number uint64)) (T, bool) {
	if r.isSilent(clk.Now(), to) {
		var none T

		return none, false
	}

	reply, ok := r.Ask(ctx, clk, ReplyTimeout, 1, send)

	switch {
	case ok:
		r.markResponsive(to)
	case ctx.Err() == nil:
		r.markSilent(clk.Now(), to)
	}

	return reply, ok
}

// Ask is Do for a request that may be sent several times, also to an instance that failed to reply
// before. It calls send up to the given number of times and waits for a timeout after each.
func (r *Requests[T]) Ask(ctx context.Context, clk clock.Clock, timeout time.Duration, sends int, send func(number uint64)) (T, bool) {
	var none T

	number, replies := r.open()
	defer r.close(number)

	for range sends {
		send(number)

		select {
		case reply := <-replies:
			return reply, true
		case <-clk.After(timeout):
		case <-ctx.Done():
			return none, false
		}
	}

	return none, false
}

// Reply delivers the reply to the request with the given number. A late or repeated reply is
// discarded, and Reply then returns false.
func (r *Requests[T]) Reply(number uint64, reply T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	replies := r.pending[number]
	if replies == nil {
		return false
	}

	delete(r.pending, number)
	replies <- reply

	return true
}

// isSilent reports whether an instance failed to reply a moment ago.
func (r *Requests[T]) isSilent(now time.Time, to fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	at, ok := r.silentSince[to]

	return ok && now.Sub(at) < silentRetryDelay
}

func (r *Requests[T]) open() (uint64, <-chan T) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.pending == nil {
		r.pending = make(map[uint64]chan T)
		r.silentSince = make(map[fleet.InstanceID]time.Time)
	}

	r.number++
	// The buffer lets Reply return when no caller waits for the reply any more.
	replies := make(chan T, 1)
	r.pending[r.number] = replies

	return r.number, replies
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
