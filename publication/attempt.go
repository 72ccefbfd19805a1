package publication

import (
	"errors"

	"monsoonlever/provider"
)

// action is what an attempt asks its shell to do next.
type action int

const (
	actionRead action = iota + 1
	actionAppend
	actionDone
)

// attempt brings one publication to a verdict, as a step machine. It reads the
// log to its end, appends, and reads on until the version that the publication
// was derived from is no longer in force. Whose record changed it decides.
type attempt struct {
	reader *reader
	// target is the id of the publication.
	target ID
	base   provider.Offset
	// payload is appended until the version changes: the publication itself, or
	// a fence to give the publication up.
	payload []byte
	giveUp  bool

	verdict verdict
	// baseSnapshot is the manifest in force at base, once it was read.
	baseSnapshot *Snapshot
	version      provider.Offset
	atEnd        bool
	// sent tells whether a copy of the payload may be on the log.
	sent bool
	// acknowledged is the offset of a copy that certainly is.
	acknowledged provider.Offset
	refusal      error
}

// newAttempt returns an attempt to publish.
func newAttempt(p Published, payload []byte) *attempt {
	return &attempt{
		reader:  newReader(tailRecords),
		target:  p.ID,
		base:    p.DerivedFrom,
		payload: payload,
	}
}

// newResolution returns an attempt to learn what an earlier publication came to,
// and to make it void if it has not taken effect.
func newResolution(target ID, f Fence, payload []byte) *attempt {
	return &attempt{
		// The record that decides may lie before the last checkpoint.
		reader:  newReader(^provider.Offset(0)),
		target:  target,
		base:    f.DerivedFrom,
		payload: payload,
		giveUp:  true,
		sent:    true,
	}
}

// next returns what to do.
func (a *attempt) next() action {
	switch {
	case a.verdict != verdictOpen:
		return actionDone
	case a.atEnd && a.reader.state.Known() && a.acknowledged < a.reader.state.Next():
		return actionAppend
	default:
		return actionRead
	}
}

// onBatch takes the answer to a read.
func (a *attempt) onBatch(q request, b provider.Batch) {
	a.note(a.reader.state.Snapshot())

	results, atEnd := a.reader.apply(q, b)
	for _, r := range results {
		a.observe(r)
		a.note(r.snapshot)

		if a.verdict != verdictOpen {
			return
		}
	}

	a.atEnd = atEnd
	if atEnd {
		a.judgeEnd(b.Next)
	}
}

// onAppend takes the answer to an append.
func (a *attempt) onAppend(offset provider.Offset, err error) {
	a.atEnd = false

	switch {
	case err == nil:
		a.sent = true
		a.acknowledged = offset
	case errors.Is(err, provider.ErrRefused) && !a.sent:
		a.verdict = verdictRefused
		a.refusal = err
	case errors.Is(err, provider.ErrRefused):
		// An earlier copy may still arrive.
	default:
		a.sent = true
	}
}

// note remembers the manifest in force at base.
func (a *attempt) note(s *Snapshot) {
	if s.version == a.base {
		a.baseSnapshot = s
	}
}

func (a *attempt) observe(r Result) {
	switch r.Outcome() {
	case Applied, Fenced:
		if r.Before() == a.base {
			a.decide(r)
		}
	case Restored:
		a.observeRestored(r)
	default:
		// The version stays as it was.
	}
}

// decide settles the attempt by the record that changed the version.
func (a *attempt) decide(r Result) {
	a.version = r.Version()
	a.verdict = verdictVoid

	if r.ID() == a.target {
		a.verdict = verdictInForce
	}
}

// observeRestored settles the attempt if the state has jumped past the record
// that would have.
func (a *attempt) observeRestored(r Result) {
	switch {
	case r.ID() == a.target:
		a.version = r.Version()
		a.verdict = verdictInForce
	case a.sent && r.Version() > a.base:
		a.version = r.Version()
		a.verdict = verdictMissed
	}
}

// judgeEnd settles what only the whole log can tell.
func (a *attempt) judgeEnd(next provider.Offset) {
	state := a.reader.state

	switch {
	case !state.Known() && !a.sent:
		a.verdict = verdictVersionUnknown
	case !state.Known():
		return
	case state.Version() == a.base:
		return
	case !a.sent:
		a.version = state.Version()
		a.verdict = verdictVoid
	case state.runStart <= a.base+1 && a.base < next:
		// Every record since base was judged, and base was never in force.
		a.version = state.Version()
		a.verdict = verdictVoid
	default:
		a.version = state.Version()
		a.verdict = verdictMissed
	}
}
