package burn

import (
	"sync/atomic"
	"time"
)

// series is what is kept of one service, client account and kind of call.
type series struct {
	key       key
	objective atomic.Pointer[Objective]

	answered, good, failed, refused, excused atomic.Uint64
	tokens, goodTokens, recomputed           atomic.Uint64

	reasons                          []atomic.Uint64
	rings                            [len(windowShapes)]*ring
	firstToken, betweenTokens, whole histogram
}

func newSeries(k key, o *Objective, reasons int) *series {
	s := &series{key: k, reasons: make([]atomic.Uint64, reasons)}
	s.objective.Store(o)

	for i, shape := range windowShapes {
		s.rings[i] = newRing(shape)
	}

	return s
}

func (s *series) record(now time.Time, o *Observation, reason int) {
	s.recomputed.Add(uint64(max(o.RecomputedTokens, 0)))

	good := s.count(o, reason)

	if o.Excused {
		s.excused.Add(1)

		return
	}

	for _, r := range s.rings {
		r.add(now, good)
	}
}

// count adds an observation to the totals and tells whether it was good.
func (s *series) count(o *Observation, reason int) bool {
	switch o.Outcome {
	case Refused:
		s.refused.Add(1)
		s.reasons[reason].Add(1)

		return false
	case Failed:
		s.failed.Add(1)

		return false
	default:
		return s.countAnswer(o)
	}
}

func (s *series) countAnswer(o *Observation) bool {
	tokens := uint64(max(o.Tokens, 0))
	s.answered.Add(1)
	s.tokens.Add(tokens)
	s.firstToken.record(o.FirstToken)
	s.betweenTokens.record(o.BetweenTokens)
	s.whole.record(o.Whole)

	good := s.objective.Load().met(o)
	if good {
		s.good.Add(1)
		s.goodTokens.Add(tokens)
	}

	return good
}

func (s *series) snapshot(now time.Time, reasons []string) Series {
	out := Series{
		Service: s.key.service, Account: s.key.account, Kind: s.key.kind,
		Objective: *s.objective.Load(),
		Answered:  s.answered.Load(), Good: s.good.Load(), Failed: s.failed.Load(),
		Refused: s.refused.Load(), Excused: s.excused.Load(),
		Tokens: s.tokens.Load(), GoodTokens: s.goodTokens.Load(), RecomputedTokens: s.recomputed.Load(),
		FirstToken: s.firstToken.counts(), BetweenTokens: s.betweenTokens.counts(), Whole: s.whole.counts(),
	}

	for i, name := range reasons {
		if n := s.reasons[i].Load(); n > 0 {
			out.Reasons = append(out.Reasons, ReasonCount{Reason: name, Count: n})
		}
	}

	for _, r := range s.rings {
		out.Windows = append(out.Windows, r.window(now))
	}

	return out
}
