package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/fairqueue"
	"monsoonlever/fleet"
)

// service is the state of one service on this instance.
type service struct {
	name    fleet.Service
	limiter concurrencyLimiter
	// kinds is copied on write; the map is never changed in place.
	kinds atomic.Pointer[map[fleet.CallKind]*callKind]
	// queued is the length of the queue, for checks without the lock.
	queued   atomic.Int64
	jitter   *jitter
	counters *counters

	mu        sync.Mutex
	queue     queue
	deadlines *fairqueue.Heap[*Ticket]
	withdrawn bool
}

func (s *service) callKind(k fleet.CallKind) *callKind {
	return (*s.kinds.Load())[k]
}

// configure applies new settings and keeps the measurements.
func (s *service) configure(c ServiceConfig) {
	s.limiter.configure(c)

	kinds := make(map[fleet.CallKind]*callKind, len(c.Kinds))

	for _, k := range c.Kinds {
		state := &callKind{}

		if old := s.kinds.Load(); old != nil && (*old)[k.Kind] != nil {
			state = (*old)[k.Kind]
		}

		state.targetLatency.Store(int64(k.Target))
		kinds[k.Kind] = state
	}

	s.kinds.Store(&kinds)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.queue.configure(c)
	s.withdrawn = false
}

// latestStart returns the latest time at which r can start and still be expected to meet its
// deadline, or the zero time if it has none.
func (s *service) latestStart(r *Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}

	k := s.callKind(r.Kind)
	if k == nil {
		return r.Deadline
	}

	return r.Deadline.Add(-k.expectedDuration())
}

// enqueue queues t, or refuses it immediately.
func (s *service) enqueue(now time.Time, t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.withdrawn {
		s.refuse(now, t, Withdrawn)

		return
	}

	if s.infeasible(now, t, s.queue.ahead(t)) {
		s.refuse(now, t, DeadlineTooShort)

		return
	}

	s.markQueued(t)

	for _, out := range s.queue.push(t) {
		s.unmarkQueued(out)
		s.refuse(now, out, QueueFull)
	}

	// A slot may have been released after Admit found none free.
	s.dispatch(now)
}

// infeasible reports whether t would start too late to meet its deadline, with the given number of
// requests ahead of it.
func (s *service) infeasible(now time.Time, t *Ticket, ahead float64) bool {
	if t.latestStart.IsZero() {
		return false
	}

	return !now.Add(s.limiter.drainTime(ahead)).Before(t.latestStart)
}

// shed refuses queued requests that can no longer meet their deadline, because the service became
// slower or other requests were queued ahead of them.
func (s *service) shed(now time.Time) {
	if s.deadlines.Count() == 0 {
		return
	}

	late := s.queue.findInfeasible(func(t *Ticket, ahead float64) bool { return s.infeasible(now, t, ahead) })

	for _, t := range late {
		s.queue.remove(t)
		s.unmarkQueued(t)
		s.refuse(now, t, DeadlineTooShort)
	}
}

// markQueued counts t as queued and tracks its deadline.
func (s *service) markQueued(t *Ticket) {
	t.done = make(chan struct{})
	t.queued = true
	s.queued.Add(1)

	if !t.latestStart.IsZero() {
		s.deadlines.Add(t)
	}
}

// unmarkQueued undoes markQueued.
func (s *service) unmarkQueued(t *Ticket) {
	t.queued = false
	s.queued.Add(-1)
	s.deadlines.Remove(t)
}

// dispatch refuses queued requests whose latest start has passed, and starts others while slots
// are free.
func (s *service) dispatch(now time.Time) {
	s.expire(now)

	for s.queue.size() > 0 && s.limiter.acquire() {
		t := s.queue.pop()
		s.unmarkQueued(t)
		s.counters.admitted.Inc()
		t.decide(Decision{Verdict: Admitted, Waited: now.Sub(t.arrivedAt)})
	}
}

// expire refuses every queued request whose latest start has passed.
func (s *service) expire(now time.Time) {
	for s.deadlines.Count() > 0 && !s.deadlines.First().latestStart.After(now) {
		t := s.deadlines.First()
		s.queue.remove(t)
		s.unmarkQueued(t)
		s.refuse(now, t, DeadlineTooShort)
	}
}

// refuse refuses t, which is not in the queue, and refunds what it consumed of its account's limits.
func (s *service) refuse(now time.Time, t *Ticket, r Reason) {
	t.account.refund(&t.request)
	s.counters.refused[r].Inc()
	t.decide(Decision{
		Verdict:    Refused,
		Reason:     r,
		RetryAfter: s.jitter.retryAfter(s.limiter.drainTime(float64(s.queue.size() + 1))),
		Waited:     now.Sub(t.arrivedAt),
	})
}

// tick dispatches and sheds queued requests, independently of requests that arrive or finish.
func (s *service) tick(now time.Time) {
	if s.queued.Load() == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.dispatch(now)
	s.shed(now)
}

// startNext starts queued requests after a slot was released.
func (s *service) startNext(now time.Time) {
	if s.queued.Load() == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.dispatch(now)
}

// abandon removes t from the queue and refuses it. It returns false if t was already decided.
func (s *service) abandon(now time.Time, t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !t.queued {
		return false
	}

	s.queue.remove(t)
	s.unmarkQueued(t)
	s.refuse(now, t, Abandoned)

	return true
}

// withdraw refuses all queued requests, and makes enqueue refuse all later ones.
func (s *service) withdraw(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.withdrawn = true

	for _, t := range s.queue.drainAll() {
		s.unmarkQueued(t)
		s.refuse(now, t, Withdrawn)
	}
}

// finish releases the slot of a request that ran and records its duration.
func (s *service) finish(now time.Time, t *Ticket, o Outcome) {
	var target time.Duration

	if k := s.callKind(t.request.Kind); k != nil {
		target = time.Duration(k.targetLatency.Load())
		k.observe(o.Duration)
	}

	s.limiter.release(now, target, o)
	s.startNext(now)
}
