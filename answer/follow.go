package answer

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/fleet"
)

// Caller takes an answer that is followed. Each token comes with the id from
// which the caller can go on at any instance.
type Caller interface {
	Write(id EventID, token string) error
	End(e Ending) error
}

// Follow passes an answer on to a caller, from right after an event id to the
// end. It reads the answer here or, where another instance holds it, there. If
// ctx ends before an instance was found that has it, it returns ErrNoReply where
// an instance that may have it has not replied, and otherwise ErrNotFoundYet.
func (r *Replicator) Follow(ctx context.Context, account fleet.Account, after EventID, caller Caller) error {
	r.init()

	f := &follower{
		replicator: r, account: account, at: after, caller: caller, replied: make(map[fleet.InstanceID]bool),
	}

	for {
		ended, err := f.advance(ctx)
		if err != nil && ctx.Err() != nil && !f.known {
			return merry.Wrap(f.notFound(ErrNotFoundYet), merry.WithCause(ctx.Err()))
		}

		if err != nil || ended {
			return err
		}
	}
}

// follower is one caller who follows an answer.
type follower struct {
	replicator *Replicator
	account    fleet.Account
	at         EventID
	caller     Caller
	// asked counts the questions to others that brought nothing to read; unknown,
	// stale and unanswered are those of them since the answer was last known and
	// read.
	asked      int
	unknown    int
	stale      int
	unanswered int
	// replied tells of each instance that was asked whether it has replied.
	replied map[fleet.InstanceID]bool
	// known tells whether anyone had the answer so far.
	known bool
}

// staleFactor times FetchTries is how often an answer may be found in stale
// copies only. It gives the others the time to hold its owner dead.
const staleFactor = 12

// advance passes on what there is and waits for more.
func (f *follower) advance(ctx context.Context) (bool, error) {
	reading, changed := f.replicator.read(f.account, f.at)
	if !reading.readable() {
		return f.advanceRemote(ctx, reading.State())
	}

	ended, err := f.pass(reading)
	if err != nil || ended {
		return ended, err
	}

	// Reading a copy again tells its owner that there is a reader still.
	var again <-chan time.Time
	if reading.copied {
		again = f.replicator.Clock.After(f.replicator.Store.Policy.FollowedEvery)
	}

	select {
	case <-changed:
		return false, nil
	case <-again:
		return false, nil
	case <-ctx.Done():
		return false, merry.Wrap(ctx.Err())
	}
}

func (f *follower) pass(reading Reading) (bool, error) {
	if reading.State() == ReadDiffers {
		return false, merry.Wrap(ErrTextDiffers)
	}

	f.known = true
	f.unknown, f.stale, f.unanswered = 0, 0, 0

	for _, token := range reading.Tokens() {
		f.at.Offset++
		f.at.Digest = f.at.Digest.Next(token)

		if err := f.caller.Write(f.at, token); err != nil {
			return false, merry.Prepend(err, "write to the caller")
		}
	}

	end, ok := reading.Ending()
	if !ok {
		return false, nil
	}

	return true, f.caller.End(end)
}

// advanceRemote asks the likeliest other instance in turn.
func (f *follower) advanceRemote(ctx context.Context, here ReadState) (bool, error) {
	reading, err := f.fetch(ctx)
	if err != nil {
		return false, err
	}

	if reading.readable() {
		return f.pass(reading)
	}

	f.asked++

	switch {
	case here == ReadStale || reading.State() == ReadStale:
		// Who knows of a copy waits for its owner, or for the copy to take over.
		f.known = true
		f.unknown = 0
		f.stale++
	case reading.State() == readUnanswered || !f.allReplied():
		// An instance that is slow or gone may have the answer, until it replies or
		// is no member any longer.
		f.unanswered++
	default:
		f.unknown++
	}

	tries := f.replicator.FetchTries
	if f.unknown > tries || f.stale+f.unanswered > staleFactor*tries {
		return false, merry.Wrap(f.notFound(ErrUnknownAnswer))
	}

	return false, nil
}

// notFound returns the error of an answer that was not found: the given one if
// all instances that may have it have replied, else ErrNoReply.
func (f *follower) notFound(err error) error {
	if f.allReplied() {
		return err
	}

	return ErrNoReply
}

// allReplied tells whether each live instance that was asked has replied.
func (f *follower) allReplied() bool {
	if isolated := f.replicator.Isolated; isolated != nil && isolated() {
		return false
	}

	return !slices.ContainsFunc(f.replicator.candidates(f.at.Request), func(id fleet.InstanceID) bool {
		replied, asked := f.replied[id]

		return asked && !replied
	})
}

// fetch asks one instance.
func (f *follower) fetch(ctx context.Context) (Reading, error) {
	r := f.replicator
	question := Fetch{Account: f.account, After: f.at.String()}
	ch := make(chan FetchReply, 1)
	none := Reading{state: ReadUnknown}

	if to, ok := f.ask(question, ch); ok {
		none = Reading{state: readUnanswered}
		f.markAsked(to)
	}

	defer r.forget(question, ch)

	var got FetchReply

	waited := r.Clock.After(r.FetchEvery)

	select {
	case got = <-ch:
	case <-waited:
		return none, nil
	case <-ctx.Done():
		return Reading{}, merry.Wrap(ctx.Err())
	}

	f.replied[got.From] = true

	// An answer that has nothing new is not asked for again at once.
	if len(got.Fetched.Tokens) == 0 && got.Fetched.End == nil {
		<-waited
	}

	return Reading{state: got.Fetched.State, tokens: got.Fetched.Tokens, end: got.Fetched.End}, nil
}

func (f *follower) markAsked(id fleet.InstanceID) {
	if _, asked := f.replied[id]; !asked {
		f.replied[id] = false
	}
}

// ask sends a question to the next candidate, whose reply goes to ch. It reports
// false if there is no other instance.
func (f *follower) ask(question Fetch, ch chan FetchReply) (fleet.InstanceID, bool) {
	r := f.replicator

	r.mu.Lock()
	defer r.mu.Unlock()

	candidates := r.Store.Candidates(f.at.Request)
	if len(candidates) == 0 {
		return "", false
	}

	r.fetched[question] = append(r.fetched[question], ch)
	to := candidates[f.asked%len(candidates)]
	r.Sender.Send(to, &Batch{
		From:    r.Store.Self.ID,
		Fetches: []Fetch{question},
	})

	return to, true
}

func (r *Replicator) candidates(id RequestID) []fleet.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.Store.Candidates(id)
}

func (r *Replicator) forget(question Fetch, ch chan FetchReply) {
	r.mu.Lock()
	defer r.mu.Unlock()

	kept := r.fetched[question][:0]

	for _, c := range r.fetched[question] {
		if c != ch {
			kept = append(kept, c)
		}
	}

	if len(kept) == 0 {
		delete(r.fetched, question)

		return
	}

	r.fetched[question] = kept
}
