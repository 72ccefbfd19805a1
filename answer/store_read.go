package answer

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// ReadState tells what an instance holds of an answer.
type ReadState string

// The states of an answer for a reader.
const (
	ReadFound   ReadState = "found"
	ReadUnknown ReadState = "unknown"
	// ReadStale means that there is a copy here whose owner is silent. It cannot
	// be read from before the owner is heard again or held dead.
	ReadStale ReadState = "stale"
	// ReadDiffers means that the caller has seen another text than the one
	// that is kept here.
	ReadDiffers ReadState = "differs"
	// readUnanswered means that the instance that was asked has not replied.
	readUnanswered ReadState = "unanswered"
)

// Reading is what follows in an answer.
type Reading struct {
	state  ReadState
	tokens []string
	end    *Ending
	// copied tells that it was read from a copy of another instance's answer.
	copied bool
}

// State tells whether there is anything to read.
func (r Reading) State() ReadState { return r.state }

// readable tells whether the answer is held where it was read.
func (r Reading) readable() bool {
	return r.state != ReadUnknown && r.state != ReadStale && r.state != readUnanswered
}

// Tokens returns the tokens that follow.
func (r Reading) Tokens() []string { return r.tokens }

// Ending returns the end of the answer if it comes right after the tokens.
func (r Reading) Ending() (Ending, bool) {
	if r.end == nil {
		return Ending{}, false
	}

	return *r.end, true
}

// Read returns what an account may read of its answer after an event id.
func (s *Store) Read(account fleet.Account, after EventID) Reading {
	a, ok := s.answers[after.Request]
	if !ok || a.request.Account != account || a.lost {
		return Reading{state: ReadUnknown}
	}

	if a.stale {
		return Reading{state: ReadStale}
	}

	// A caller that is ahead waits for the copy to catch up with it.
	if after.Offset > a.visible {
		r := a.readAhead(after)
		r.copied = a.role == roleCopy

		return r
	}

	if DigestOf(a.tokens[:after.Offset]) != after.Digest {
		return Reading{state: ReadDiffers}
	}

	r := Reading{
		state: ReadFound, tokens: slices.Clone(a.tokens[after.Offset:a.visible]), copied: a.role == roleCopy,
	}
	if a.end != nil && a.visible == len(a.tokens) && a.endIsSafe() {
		r.end = a.end
	}

	return r
}

// readAhead answers a caller that has more than is visible here.
func (a *keptAnswer) readAhead(after EventID) Reading {
	if a.end != nil && a.visible == len(a.tokens) {
		return Reading{state: ReadDiffers}
	}

	if after.Offset <= len(a.tokens) && DigestOf(a.tokens[:after.Offset]) != after.Digest {
		return Reading{state: ReadDiffers}
	}

	return Reading{state: ReadFound}
}

// endIsSafe tells whether the end outlives this instance: an owner shows it
// once its copies have it too.
func (a *keptAnswer) endIsSafe() bool {
	if a.role != roleOwner {
		return true
	}

	return !slices.ContainsFunc(a.holders, func(h holder) bool { return !h.ended })
}

// Candidates returns the instances to ask for an answer that is not held here,
// the likeliest first: those of this region in the order in which they are
// chosen for copies.
func (s *Store) Candidates(id RequestID) []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(s.members))
	ranked := rank(id, s.members)

	for _, m := range ranked {
		if m.Region == s.Self.Region {
			out = append(out, m.ID)
		}
	}

	for _, m := range ranked {
		if m.Region != s.Self.Region {
			out = append(out, m.ID)
		}
	}

	return out
}

func (s *Store) onFetch(now time.Time, from fleet.InstanceID, m Fetch) {
	f := Fetched{Account: m.Account, After: m.After, State: ReadUnknown}

	if id, err := ParseEventID(m.After); err == nil {
		r := s.Read(m.Account, id)
		f.State, f.Tokens, f.End = r.state, r.tokens, r.end

		if r.readable() {
			s.follow(now, id.Request)
		}
	}

	b := s.box.to(from)
	b.Fetched = append(b.Fetched, f)
}
