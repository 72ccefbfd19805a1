package answer

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrNotOwner means that an answer is another instance's by now.
var ErrNotOwner = merry.Sentinel("answer is owned by another instance")

// storeSink writes an answer into the Store. Its callers follow it there.
type storeSink struct {
	replicator *Replicator
	id         RequestID
	epoch      Epoch
}

// Write keeps one token.
func (s *storeSink) Write(offset int, token string) error {
	s.replicator.do(func(now time.Time) []StoreCommand {
		return s.replicator.Store.Token(now, s.id, s.epoch, offset, token)
	})

	return nil
}

// Complete keeps the finish.
func (s *storeSink) Complete(c Complete) error {
	return s.end(Ending{Finish: c.Reason, Usage: c.Usage})
}

// GiveUp keeps the refusal, unless the answer was stopped because another
// instance goes on with it.
func (s *storeSink) GiveUp(g GiveUp) error {
	if g.Reason == ReasonCallerGone {
		return merry.Wrap(ErrNotOwner)
	}

	return s.end(Ending{Refusal: &g})
}

func (s *storeSink) end(e Ending) error {
	s.replicator.do(func(now time.Time) []StoreCommand {
		return s.replicator.Store.End(now, s.id, s.epoch, e)
	})

	return nil
}
