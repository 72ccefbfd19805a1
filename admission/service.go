package admission

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
)

// service is the state of one service on this instance.
type service struct {
	name    fleet.Service
	limiter concurrencyLimiter
	// kinds is replaced as a whole and never changed.
	kinds atomic.Pointer[map[fleet.CallKind]*callKind]
	// queued lets the path of a request see an empty queue without the lock.
	queued   atomic.Int64
	jitter   *jitter
	counters *counters

	mu        sync.Mutex
	queue     queue
	deadlines deadlineHeap
	withdrawn bool
}

func (s *service) callKind(k fleet.CallKind) *callKind {
	return (*s.kinds.Load())[k]
}

// configure takes new settings and keeps what was learned.
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

// latestStart is the last time at which starting r may still meet its deadline.
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

// enqueue queues t, or refuses it in the same step.
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

	// A slot may have been released since the fast path saw none.
	s.dispatch(now)
}

// infeasible tells whether t would be started too late behind so many others.
func (s *service) infeasible(now time.Time, t *Ticket, ahead float64) bool {
	if t.latestStart.IsZero() {
		return false
	}

	return !now.Add(s.limiter.drainTime(ahead)).Before(t.latestStart)
}

// shed refuses what was feasible on arrival and is not any more, because the
// service has become slower or others went before it.
func (s *service) shed(now time.Time) {
	if len(s.deadlines) == 0 {
		return
	}

	late := s.queue.findInfeasible(func(t *Ticket, ahead float64) bool { return s.infeasible(now, t, ahead) })

	for _, t := range late {
		s.queue.remove(t)
		s.unmarkQueued(t)
		s.refuse(now, t, DeadlineTooShort)
	}
}

// markQueued counts t as queued.
func (s *service) markQueued(t *Ticket) {
	t.done = make(chan struct{})
	t.queued = true
	s.queued.Add(1)

	if !t.latestStart.IsZero() {
		heap.Push(&s.deadlines, t)
	}
}

// unmarkQueued undoes hold.
func (s *service) unmarkQueued(t *Ticket) {
	t.queued = false
	s.queued.Add(-1)

	if t.heapIndex != notInHeap {
		heap.Remove(&s.deadlines, t.heapIndex)
	}
}

// dispatch gives up what is too late and starts what there are slots for.
func (s *service) dispatch(now time.Time) {
	s.expire(now)

	for s.queue.size() > 0 && s.limiter.acquire() {
		t := s.queue.pop()
		s.unmarkQueued(t)
		s.counters.admitted.Inc()
		t.decide(Decision{Verdict: Admitted, Waited: now.Sub(t.arrivedAt)})
	}
}

// expire refuses every queued request whose time to start has passed.
func (s *service) expire(now time.Time) {
	for len(s.deadlines) > 0 && !s.deadlines[0].latestStart.After(now) {
		t := s.deadlines[0]
		s.queue.remove(t)
		s.unmarkQueued(t)
		s.refuse(now, t, DeadlineTooShort)
	}
}

// refuse decides t, which is not in the queue.
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

// tick is dispatch for a service that no request has touched for a while.
func (s *service) tick(now time.Time) {
	if s.queued.Load() == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.dispatch(now)
	s.shed(now)
}

// startNext starts what the released slot is for.
func (s *service) startNext(now time.Time) {
	if s.queued.Load() == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.dispatch(now)
}

// abandon takes t out of the queue; it returns false if t was decided before.
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

// withdraw refuses all that is queued, and all that comes later.
func (s *service) withdraw(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.withdrawn = true

	for _, t := range s.queue.drainAll() {
		s.unmarkQueued(t)
		s.refuse(now, t, Withdrawn)
	}
}

// finish ends a request that ran.
func (s *service) finish(now time.Time, t *Ticket, o Outcome) {
	var target time.Duration

	if k := s.callKind(t.request.Kind); k != nil {
		target = time.Duration(k.targetLatency.Load())
		k.observe(o.Duration)
	}

	s.limiter.release(now, target, o)
	s.startNext(now)
}
