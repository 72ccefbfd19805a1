package scheduling

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fairqueue"
	"monsoonlever/feed"
	"monsoonlever/fleet"
)

const (
	// maxWaiting and maxWaitingBytes bound the prompts that wait on this instance for the servers
	// of one service. One account has at most half of both.
	maxWaiting      = 8192
	maxWaitingBytes = 32 << 20
	// maxTried bounds how many prompts that can't be sent are looked at in a row. Each of them
	// waits for another server.
	maxTried = 8
	// recheckInterval is how often the queue looks for room that no event tells of: servers are
	// avoided and back off for a time, and backlogs of instances that ended lapse.
	recheckInterval = 250 * time.Millisecond
	// wakeJitter spreads the instances that learn of the same room over the time that updates
	// between them take.
	wakeJitter = holdInterval
)

// accountFlow is a client account in the queue.
type accountFlow fleet.Account

// Name returns the name of the account.
func (f accountFlow) Name() string { return string(f) }

// Weight returns 1: all accounts are equal.
func (f accountFlow) Weight() float64 { return 1 }

// placement is the end of a wait: an assignment, an error, or neither if the prompt should be
// placed anew.
type placement struct {
	assignment *Assignment
	err        error
}

// waiter is a prompt that waits.
type waiter struct {
	request Request
	entry   fairqueue.Entry[accountFlow, *waiter]
	since   time.Time
	// turnsLate is when the prompt can no longer begin in time, and givesUp when it can no longer
	// begin before its caller leaves, both if it is sent to an idle server.
	turnsLate, givesUp                time.Time
	turnsLatePosition, givesUpPositon int
	// late is set once the prompt can't begin in time.
	late bool
	// done receives the placement.
	done chan placement
}

// requestQueue holds the prompts of this instance that wait for the servers of one service.
type requestQueue struct {
	scheduler *Scheduler
	service   fleet.Service
	// waiting is the number of prompts, for checks without the lock.
	waiting atomic.Int64
	wake    feed.Signal
	// contendedUntil is until when prompts that arrive may compete with ones that waited, in Unix
	// nanoseconds.
	contendedUntil atomic.Int64

	mu    sync.Mutex
	queue *fairqueue.Queue[accountFlow, *waiter]
	// turnLate and giveUp hold the prompts by the times of the same name. Prompts that are late
	// are only in giveUp.
	turnLate, giveUp *fairqueue.Heap[*waiter]
	// contentions holds the priorities of prompts that wait or waited.
	contentions map[int]*contention
	window      window
	// running is set while run runs.
	running bool
}

func newRequestQueue(s *Scheduler, service fleet.Service) *requestQueue {
	q := &requestQueue{
		scheduler: s, service: service, queue: fairqueue.New[accountFlow, *waiter](), contentions: make(map[int]*contention),
		turnLate: fairqueue.NewHeap(
			func(a, b *waiter) bool { return a.turnsLate.Before(b.turnsLate) }, func(w *waiter) *int { return &w.turnsLatePosition }),
		giveUp: fairqueue.NewHeap(
			func(a, b *waiter) bool { return a.givesUp.Before(b.givesUp) }, func(w *waiter) *int { return &w.givesUpPositon }),
	}
	// Prompts that are late in any case don't delay those that can begin in time.
	q.queue.NoTurn = isLateRank
	q.queue.SetLimits(fairqueue.Limits{
		Requests: maxWaiting, Bytes: maxWaitingBytes, FlowRequests: maxWaiting / 2, FlowBytes: maxWaitingBytes / 2,
	})

	return q
}

// newWaiter returns a waiter for a prompt whose best server was picked.
func newWaiter(now time.Time, a *Assignment, r Request) *waiter {
	if r.Arrived.IsZero() {
		r.Arrived = now
	}

	own := a.timeToRead(int64(a.uncachedTokens))
	w := &waiter{
		request: r, since: now, done: make(chan placement, 1),
		turnsLate: r.Due.Add(-own - shortBacklog), late: a.decide(now, r) == hold,
		givesUp: r.CallerDeadline.Add(-own - refuseMargin),
	}

	w.late = w.late || !w.turnsLate.After(now)

	if r.HoldUntil.Before(w.givesUp) {
		w.givesUp = r.HoldUntil
	}

	w.entry = fairqueue.Entry[accountFlow, *waiter]{
		Value: w, Flow: accountFlow(r.Account), Rank: rank(r.Priority, w.late),
		Cost: float64(a.uncachedTokens), Bytes: r.Bytes, ArrivedAt: r.Arrived,
	}

	if r.requeued {
		// Its work was counted when it was first released.
		w.entry.Cost = 0
	}

	return w
}

// expired returns the error for a prompt whose caller has left.
func (w *waiter) expired() error {
	return &OverloadError{
		Reason: LateInQueue, RetryAfter: shortBacklog, Priority: w.request.Priority, Tokens: int(w.entry.Cost),
	}
}

// rank orders prompts by priority, and those of one priority that can begin in time before those
// that are late in any case.
func rank(priority int, late bool) int {
	if late {
		return 2*priority + 1
	}

	return 2 * priority
}

func isLateRank(rank int) bool { return rank%2 == 1 }

// add adds a prompt whose best server was picked. It rejects the prompt if too much work is queued
// ahead of it.
func (q *requestQueue) add(now time.Time, a *Assignment, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if ahead := int64(q.queue.CostAhead(&w.entry)); ahead > 0 && q.earliestBegin(now, a, ahead).Add(refuseMargin).After(w.request.CallerDeadline) {
		q.reject(now, a, w, LateInQueue)

		return
	}

	for _, out := range q.queue.Push(&w.entry) {
		if out != &w.entry {
			q.forget(now, out.Value)
		}

		q.reject(now, a, out.Value, QueueFull)
	}

	if !w.entry.Queued() {
		return
	}

	q.contention(w.request.Priority).add(w.request.Account)
	q.giveUp.Add(w)
	q.scheduler.publishContention(now, Contention{
		Service: q.service, Priority: clampPriority(w.request.Priority), Account: keyOf(string(w.request.Account)),
	}, true)

	if !w.late {
		q.turnLate.Add(w)
	}

	q.waiting.Add(1)
	q.scheduler.waiting.Add(1)
	q.scheduler.Counters.waiting(w.request.Priority, 1)

	if q.queue.First() == &w.entry {
		q.dispatchLocked(now)
	}
}

func (q *requestQueue) contention(priority int) *contention {
	c := q.contentions[priority]
	if c == nil {
		c = newContention()
		q.contentions[priority] = c
	}

	return c
}

// noteRemote records that a prompt waits on another instance.
func (q *requestQueue) noteRemote(now time.Time, c Contention) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.contention(int(c.Priority)).note(now, c.Account)
	q.contendedUntil.Store(now.Add(contentionTime).UnixNano())
}

func clampPriority(priority int) uint8 { return uint8(min(max(priority, 0), math.MaxUint8)) }

// competes reports whether prompts that are more urgent, or as urgent and of other accounts, wait
// or waited recently.
func (q *requestQueue) competes(now time.Time, r Request) bool {
	for priority, c := range q.contentions {
		if priority < r.Priority && c.any(now) || priority == r.Priority && c.other(now, r.Account) {
			return true
		}
	}

	return false
}

// contended reports whether prompts wait or waited recently. It takes no lock.
func (q *requestQueue) contended(now time.Time) bool {
	return q.waiting.Load() > 0 || now.UnixNano() < q.contendedUntil.Load()
}

// mustWait reports whether a prompt that could be sent has to wait, because others do or because
// it competes with ones that did.
func (q *requestQueue) mustWait(now time.Time, r Request) bool {
	if q.waiting.Load() > 0 {
		return true
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	return q.competes(now, r)
}

// earliestBegin returns when a prompt begins behind tokens that are queued ahead of it, if all servers
// work for the prompts of this instance alone. Work that other instances hold back is not known, so
// that no prompt is rejected that could be on time.
func (q *requestQueue) earliestBegin(now time.Time, a *Assignment, ahead int64) time.Time {
	pace, _ := q.scheduler.TotalPace(now, q.service)
	_, backlog := q.scheduler.serviceBacklog(now, &Request{Service: q.service})

	return now.Add(a.timeToRead(int64(float64(backlog+ahead)/max(pace, 1)) + int64(a.uncachedTokens)))
}

// forget updates what is stored about a prompt that was removed from the queue.
func (q *requestQueue) forget(now time.Time, w *waiter) {
	q.turnLate.Remove(w)
	q.giveUp.Remove(w)

	q.contention(w.request.Priority).remove(now, w.request.Account)
	q.contendedUntil.Store(now.Add(contentionTime).UnixNano())
	q.waiting.Add(-1)
	q.scheduler.waiting.Add(-1)
	q.scheduler.Counters.waiting(w.request.Priority, -1)
}

// remove removes a prompt whose caller left. It returns the assignment if the prompt was placed at
// the same time.
func (q *requestQueue) remove(now time.Time, w *waiter) *Assignment {
	q.mu.Lock()
	defer q.mu.Unlock()

	if w.entry.Queued() {
		q.queue.Remove(&w.entry)
		q.forget(now, w)
		q.wake.Send()

		return nil
	}

	select {
	case p := <-w.done:
		return p.assignment
	default:
		return nil
	}
}

// reject ends the wait of a prompt that is not queued any more with an OverloadError.
func (q *requestQueue) reject(now time.Time, a *Assignment, w *waiter, reason OverloadReason) {
	w.done <- placement{err: q.overload(now, a, w.request, reason)}
}

// overload returns the error for a prompt that is rejected with the lock held.
func (q *requestQueue) overload(now time.Time, a *Assignment, r Request, reason OverloadReason) error {
	e := a.overload(now, r, reason)
	e.Waiting, e.WorkAhead = q.queue.Len(), int64(q.queue.CostAhead(&fairqueue.Entry[accountFlow, *waiter]{
		Flow: accountFlow(r.Account), Rank: rank(r.Priority, false), ArrivedAt: r.Arrived,
	}))

	if pace, _ := q.scheduler.TotalPace(now, q.service); e.WorkAhead > 0 {
		e.RetryAfter += a.timeToRead(int64(float64(e.WorkAhead) / max(pace, 1)))
	}

	return e
}

// dispatch releases the prompts for which there is room and rejects those that are too late. It
// returns after how long it should be called again at the latest, and false if no prompt is left.
func (q *requestQueue) dispatch(now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.dispatchLocked(now)

	if q.queue.Len() == 0 {
		q.running = false

		return 0, false
	}

	wait := min(recheckInterval, q.giveUp.First().givesUp.Sub(now))
	if q.turnLate.Count() > 0 {
		wait = min(wait, q.turnLate.First().turnsLate.Sub(now))
	}

	return max(wait, time.Millisecond), true
}

func (q *requestQueue) dispatchLocked(now time.Time) {
	q.expire(now)

	for q.turnLate.Count() > 0 && !q.turnLate.First().turnsLate.After(now) {
		q.markLate(q.turnLate.First())
	}

	p := pass{queue: q, now: now, claimed: make(map[*server]bool), tried: make(map[*waiter]bool)}
	for p.releaseNext() {
	}

	q.rejectLate(now)
}

// expire rejects prompts whose callers have left, as after a pause of this instance. No work is spent
// on them while others wait.
func (q *requestQueue) expire(now time.Time) {
	if q.queue.Len() == 1 {
		return
	}

	for q.giveUp.Count() > 0 && q.giveUp.First().request.CallerDeadline.Before(now) {
		w := q.giveUp.First()
		q.end(now, w, placement{err: w.expired()})
	}
}

// markLate puts a prompt behind those of its priority that can begin in time.
func (q *requestQueue) markLate(w *waiter) {
	w.late = true
	q.turnLate.Remove(w)
	q.queue.SetRank(&w.entry, rank(w.request.Priority, true))
}

// rejectLate rejects the prompts that give up first, as long as their time has come.
func (q *requestQueue) rejectLate(now time.Time) {
	for q.giveUp.Count() > 0 {
		w := q.giveUp.First()

		a, err := q.scheduler.Pick(now, w.request)
		if err != nil {
			q.end(now, w, placement{})

			continue
		}

		if a.decide(now, w.request) != refuse && !w.givesUp.Before(now) {
			return
		}

		q.queue.Remove(&w.entry)
		q.forget(now, w)
		q.reject(now, a, w, LateAtServers)
	}
}

// end removes a prompt without counting its work, and ends its wait.
func (q *requestQueue) end(now time.Time, w *waiter, p placement) {
	q.queue.Remove(&w.entry)
	q.forget(now, w)
	w.done <- p
}

// release sends a prompt on its way. Its work counts at the server from now on.
func (q *requestQueue) release(now time.Time, w *waiter, a *Assignment) {
	q.queue.Start(&w.entry)
	q.forget(now, w)
	a.reserve()
	q.scheduler.Counters.waited(now.Sub(w.since))
	w.done <- placement{assignment: a}
}

// run dispatches when there may be room, until no prompt is left.
func (q *requestQueue) run(clk clock.Clock) {
	wait := recheckInterval

	for {
		select {
		case <-q.wake.C():
			<-clk.After(rand.N(wakeJitter))
		case <-clk.After(wait):
		}

		next, more := q.dispatch(clk.Now())
		if !more {
			return
		}

		wait = next
	}
}

// ensureRunning starts run unless it runs.
func (q *requestQueue) ensureRunning(clk clock.Clock) {
	q.mu.Lock()
	start := !q.running && q.queue.Len() > 0
	q.running = q.running || start
	q.mu.Unlock()

	if start {
		go q.run(clk)
	}

	q.wake.Send()
}

// pass is one look at the prompts that wait, in order.
type pass struct {
	queue *requestQueue
	now   time.Time
	// claimed are the servers that a prompt waits for, or was just sent to. Prompts behind it don't
	// overtake it there.
	claimed map[*server]bool
	// tried are the prompts that wait for one of these servers.
	tried map[*waiter]bool
	// own are the tokens of this instance at the servers, and window is the bound for them. They are
	// valid once measured is set.
	own, window int64
	measured    bool
}

// releaseNext releases or rejects the first prompt for which that is possible, and reports whether
// there was one.
func (p *pass) releaseNext() bool {
	q := p.queue

	for e := range q.queue.All() {
		w := e.Value
		if p.tried[w] {
			continue
		}

		if len(p.tried) >= maxTried {
			return false
		}

		a, err := q.scheduler.Pick(p.now, w.request)
		if err != nil {
			q.end(p.now, w, placement{})

			return true
		}

		switch p.decide(a, w) {
		case send:
			if a.meter != nil {
				p.claimed[a.server] = true
			}

			p.own += int64(a.uncachedTokens)
			q.release(p.now, w, a)
			q.wake.Send()

			return true
		case refuse:
			q.queue.Remove(&w.entry)
			q.forget(p.now, w)
			q.reject(p.now, a, w, LateAtServers)

			return true
		case hold:
			if !w.late && a.decide(p.now, w.request) == hold {
				q.markLate(w)

				return true
			}

			p.claimed[a.server] = true
			p.tried[w] = true
		}
	}

	return false
}

// decide decides about a prompt that waits. A single one is decided about like one that has just
// arrived. While prompts compete, the backlog of servers is kept short, so that the order in which
// they are read is that of the queue.
func (p *pass) decide(a *Assignment, w *waiter) decision {
	verdict := a.decide(p.now, w.request)
	if verdict != send || a.PathLost(p.now) {
		return verdict
	}

	if p.claimed[a.server] || p.queue.competes(p.now, w.request) && !p.hasRoom(a) {
		return hold
	}

	return send
}

// hasRoom reports whether a competing prompt may be sent to the server of an assignment.
func (p *pass) hasRoom(a *Assignment) bool {
	if a.timeToRead(a.backlog) > shortBacklog {
		return false
	}

	if !p.measured {
		p.measured = true
		p.measure(a)
	}

	return p.own == 0 || p.own < p.window
}

// measure computes the tokens of this instance at the servers, and the bound for them.
func (p *pass) measure(a *Assignment) {
	q := p.queue
	own, total := q.scheduler.serviceBacklog(p.now, &Request{Service: q.service})
	pace, _ := q.scheduler.TotalPace(p.now, q.service)

	q.window.update(p.now, own, total)
	p.own = own
	p.window = math.MaxInt64

	if rate := a.meter.medianReadRate(); rate > 0 {
		p.window = int64(q.window.tokens(pace * rate * windowBacklog.Seconds()))
	}
}
