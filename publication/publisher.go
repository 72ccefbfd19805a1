package publication

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
	"monsoonlever/manifest"
	"monsoonlever/provider"
)

const (
	// lookupWait is how long a read at the end of the log waits for a record
	// whose append has not answered.
	lookupWait = time.Second
	// maxRebases bounds how often a publication follows fences of others.
	maxRebases = 8
)

// The errors of a publication that took no effect and never will.
var (
	// ErrNotPublished is wrapped where the log took no record of it.
	ErrNotPublished = errors.New("not published")
	// ErrVersionUnknown is wrapped where the log does not show which version is
	// in force.
	ErrVersionUnknown = errors.New("not published: the log does not show the version in force")
)

// Publisher puts manifests on the log for an operator. Its fields are set before
// use. It needs no Follower.
type Publisher struct {
	Log    provider.Log
	Stream provider.Stream
	Clock  clock.Clock
	// Random spreads retries.
	Random *rand.Rand
	// NewID, if set, makes the ids; NewID of the package is the default.
	NewID func() ID
}

// Publish returns once the log has decided. The error is a *finding.Error if the
// manifest has findings, a *Conflict if another version is in force, an
// *Unresolved if the context ended before the answer was known; otherwise it
// wraps ErrNotPublished or ErrVersionUnknown.
func (p *Publisher) Publish(ctx context.Context, r Request) (Receipt, error) {
	proposed, err := manifest.Parse(r.File, r.Data)
	if err != nil {
		return Receipt{}, err
	}

	record := Published{ID: p.newID(), DerivedFrom: r.Base, Manifest: r.Data, Operator: r.Operator}

	for range maxRebases {
		a, err := p.publishOnce(ctx, record)
		if err != nil {
			return Receipt{}, err
		}

		if a.verdict == verdictInForce {
			return Receipt{id: record.ID, version: a.version}, nil
		}

		// A fence has given the same manifest another version.
		if a.verdict == verdictVoid && a.unchanged() {
			record.DerivedFrom = a.reader.state.Version()

			continue
		}

		return Receipt{}, a.failure(proposed)
	}

	return Receipt{}, merry.Prepend(ErrNotPublished, "too many fences")
}

// Resolve learns what a publication came to whose answer is unknown. If it has
// not taken effect it never will once Resolve has returned a *Conflict.
func (p *Publisher) Resolve(ctx context.Context, id ID, base provider.Offset) (Receipt, error) {
	fence := Fence{ID: p.newID(), DerivedFrom: base}

	payload, err := Encode(fence)
	if err != nil {
		return Receipt{}, err
	}

	a := newResolution(id, fence, payload)
	if err := p.perform(ctx, a); err != nil {
		return Receipt{}, err
	}

	if a.verdict == verdictInForce {
		return Receipt{id: id, version: a.version}, nil
	}

	return Receipt{}, a.failure(nil)
}

func (p *Publisher) publishOnce(ctx context.Context, record Published) (*attempt, error) {
	payload, err := Encode(record)
	if err != nil {
		return nil, err
	}

	a := newAttempt(record, payload)

	return a, p.perform(ctx, a)
}

// perform runs an attempt to its verdict or to the end of the context.
func (p *Publisher) perform(ctx context.Context, a *attempt) error {
	wait := backoff{random: p.Random}

	for a.next() != actionDone {
		err := p.step(ctx, a, lookupWait)
		if a.next() == actionDone {
			return nil
		}

		if cause := ctx.Err(); cause != nil {
			return a.interrupted(cause)
		}

		if err != nil {
			clock.Sleep(ctx, p.Clock, wait.next())
		}
	}

	return nil
}

// step does what the attempt asks for next.
func (p *Publisher) step(ctx context.Context, a *attempt, wait time.Duration) error {
	if a.next() == actionAppend {
		return p.append(ctx, a)
	}

	q := a.reader.next()
	if q.locate || !a.sent {
		wait = 0
	}

	b, err := p.Log.Read(ctx, p.Stream, q.from, q.limit, wait)
	if err != nil {
		return merry.Prepend(err, "read manifest stream")
	}

	a.onBatch(q, b)

	return nil
}

func (p *Publisher) append(ctx context.Context, a *attempt) error {
	publishAppends.Inc()

	offset, err := p.Log.Append(ctx, p.Stream, a.payload)
	a.onAppend(offset, err)

	if err != nil && !errors.Is(err, provider.ErrRefused) {
		publishLostAnswer.Inc()
	}

	return err
}

func (p *Publisher) newID() ID {
	if p.NewID != nil {
		return p.NewID()
	}

	return NewID()
}
