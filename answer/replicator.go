package answer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// The errors of a Replicator.
var (
	// ErrNoCopy means that no copy acknowledged a request in time.
	ErrNoCopy = merry.Sentinel("no copy in another failure domain")
	// ErrUnknownAnswer means that no instance that was asked has the answer.
	ErrUnknownAnswer = merry.Sentinel("answer is not known")
	// ErrNotFoundYet means that the time was over before an instance was found
	// that has the answer.
	ErrNotFoundYet = merry.Sentinel("answer was not found yet")
	// ErrNoReply means that the time was over before every instance that may have
	// the answer had replied.
	ErrNoReply = merry.Sentinel("an instance that may have the answer has not replied")
	// ErrTextDiffers means that the caller has another text than is kept.
	ErrTextDiffers = merry.Sentinel("the caller has another text than is kept")
)

const (
	defaultFetchEvery = 50 * time.Millisecond
	defaultFetchTries = 100
)

// Replicator is the shell of a Store: it sends its batches, keeps its time and
// lets callers follow answers. The exported fields are set before Run.
type Replicator struct {
	Clock  clock.Clock
	Store  *Store
	Sender Sender
	// Continue starts a Runner for an answer that this instance took over. It
	// does not wait for the answer.
	Continue func(c Continue)
	// Stop cancels the Runner of an answer that another instance owns now.
	Stop func(c Stop)
	// Followed is told that a caller reads an answer of this instance elsewhere;
	// it may be nil.
	Followed func(id RequestID)
	// Isolated tells whether this instance has not reached any other yet, so that
	// the members it was given lack those that have an answer; nil means never.
	Isolated func() bool
	// FetchEvery is the time between two questions to another instance for an
	// answer that is not held here, and FetchTries how often none may know it;
	// together they should outlast the time until a dead owner is noticed. They
	// default to 50 ms and 100.
	FetchEvery time.Duration
	FetchTries int

	mu       sync.Mutex
	changed  map[RequestID]chan struct{}
	accepted map[RequestID]chan struct{}
	fetched  map[Fetch][]chan FetchReply
	wake     chan struct{}
	once     sync.Once
}

// Run keeps the time of the Store until the context ends.
func (r *Replicator) Run(ctx context.Context) {
	r.init()

	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-r.Clock.After(r.untilWake()):
		}

		r.do(func(now time.Time) []StoreCommand { return r.Store.Tick(now) })
	}
}

// Accept returns once a copy in another failure domain holds the request, or
// with ErrNoCopy after the timeout. The request is kept here in either case.
func (r *Replicator) Accept(ctx context.Context, request Request, timeout time.Duration) (Epoch, error) {
	r.init()

	ch := make(chan struct{})
	r.mu.Lock()
	r.accepted[request.ID] = ch
	r.mu.Unlock()
	r.do(func(now time.Time) []StoreCommand { return r.Store.Accept(now, request) })

	defer func() {
		r.mu.Lock()
		delete(r.accepted, request.ID)
		r.mu.Unlock()
	}()

	epoch := Epoch{Owner: r.Store.Self.ID, Incarnation: r.Store.Self.Incarnation}

	select {
	case <-ch:
		return epoch, nil
	case <-r.Clock.After(timeout):
		return epoch, merry.Wrap(ErrNoCopy)
	case <-ctx.Done():
		return epoch, merry.Wrap(ctx.Err())
	}
}

// Receive takes a batch from a peer.
func (r *Replicator) Receive(b *Batch) {
	r.do(func(now time.Time) []StoreCommand { return r.Store.Receive(now, b) })
}

// SetMembers takes the view of the live entry instances, this one left out.
func (r *Replicator) SetMembers(members []Member) {
	r.do(func(now time.Time) []StoreCommand { return r.Store.SetMembers(now, members) })
}

// Leave hands off what this instance owns. HandedOff tells when that is done.
func (r *Replicator) Leave() {
	r.do(func(now time.Time) []StoreCommand { return r.Store.Leave(now) })
}

// HandedOff tells whether nothing is left that only this instance can answer.
func (r *Replicator) HandedOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.Store.HandedOff()
}

// HasHeir tells whether an instance is there that could go on with what this one
// owns.
func (r *Replicator) HasHeir() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.Store.HasHeir()
}

// Counts returns what the Store holds and did.
func (r *Replicator) Counts() StoreCounts {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.Store.Counts()
}

// Sink returns the sink by which a Runner writes an answer under an epoch.
func (r *Replicator) Sink(id RequestID, epoch Epoch) Sink {
	return &storeSink{replicator: r, id: id, epoch: epoch}
}

func (r *Replicator) init() {
	r.once.Do(func() {
		r.mu.Lock()
		defer r.mu.Unlock()

		if r.FetchEvery <= 0 {
			r.FetchEvery = defaultFetchEvery
		}

		if r.FetchTries <= 0 {
			r.FetchTries = defaultFetchTries
		}

		r.changed = make(map[RequestID]chan struct{})
		r.accepted = make(map[RequestID]chan struct{})
		r.fetched = make(map[Fetch][]chan FetchReply)
		r.wake = make(chan struct{}, 1)
	})
}

func (r *Replicator) untilWake() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	wake := r.Store.Wake()
	if wake.IsZero() {
		return r.Store.Policy.SweepEvery
	}

	return max(0, wake.Sub(r.Clock.Now()))
}

// do makes one step of the Store and carries out its commands. Batches are
// sent under the lock, so that they keep their order.
func (r *Replicator) do(step func(now time.Time) []StoreCommand) {
	r.init()
	r.mu.Lock()

	before := r.Store.Wake()
	commands := step(r.Clock.Now())
	later := r.carryOut(commands)
	earlier := r.Store.Wake().Before(before)
	r.mu.Unlock()

	if earlier {
		r.nudge()
	}

	for _, f := range later {
		f()
	}
}

func (r *Replicator) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// carryOut returns what must not be done under the lock.
func (r *Replicator) carryOut(commands []StoreCommand) []func() {
	var later []func()

	for _, c := range commands {
		switch c := c.(type) {
		case Send:
			r.Sender.Send(c.To, c.Batch)
		case Accepted:
			r.closeAccepted(c.ID)
		case Visible:
			r.closeChanged(c.ID)
		case Continue:
			later = append(later, func() { r.Continue(c) })
		case Stop:
			later = append(later, func() { r.Stop(c) })
		case FetchReply:
			r.passFetched(c)
		case FollowedElsewhere:
			if r.Followed != nil {
				later = append(later, func() { r.Followed(c.ID) })
			}
		}
	}

	return later
}

func (r *Replicator) closeAccepted(id RequestID) {
	if ch, ok := r.accepted[id]; ok {
		close(ch)
		delete(r.accepted, id)
	}
}

func (r *Replicator) closeChanged(id RequestID) {
	if ch, ok := r.changed[id]; ok {
		close(ch)
		delete(r.changed, id)
	}
}

func (r *Replicator) passFetched(reply FetchReply) {
	for _, ch := range r.fetched[Fetch{Account: reply.Fetched.Account, After: reply.Fetched.After}] {
		select {
		case ch <- reply:
		default:
		}
	}
}

func (r *Replicator) changedOf(id RequestID) <-chan struct{} {
	ch, ok := r.changed[id]
	if !ok {
		ch = make(chan struct{})
		r.changed[id] = ch
	}

	return ch
}

// read returns what is held here and a channel that is closed when there is
// more.
func (r *Replicator) read(account fleet.Account, after EventID) (Reading, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()

	reading := r.Store.Read(account, after)
	if !reading.readable() {
		return reading, nil
	}

	// Only batches come of it, which are sent under the lock.
	_ = r.carryOut(r.Store.Follow(r.Clock.Now(), after.Request))

	return reading, r.changedOf(after.Request)
}
