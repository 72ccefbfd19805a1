package load

import (
	"time"

	"monsoonlever/fleet"
)

// BreachKind names a promise that was broken.
type BreachKind string

// The kinds of breaches.
const (
	// WrongAnswer means that a caller got what was not its answer.
	WrongAnswer BreachKind = "wrongAnswer"
	// CutAnswer means that a caller got a part of its answer.
	CutAnswer BreachKind = "cutAnswer"
	// NoFinalAnswer means that a caller got neither an answer nor a refusal in time.
	NoFinalAnswer BreachKind = "noFinalAnswer"
	// RanTwice means that a call that may not be repeated ran more than once.
	RanTwice BreachKind = "ranTwice"
	// RanThoughRefused means that a call ran of which the caller was told that it
	// did not.
	RanThoughRefused BreachKind = "ranThoughRefused"
	// NeverRan means that a call was answered that no service ran.
	NeverRan BreachKind = "neverRan"
)

// Breach is one broken promise.
type Breach struct {
	Kind    BreachKind     `json:"kind"`
	Service fleet.Service  `json:"service"`
	Call    fleet.CallKind `json:"call"`
	Key     string         `json:"key,omitempty"`
	// At is when the call was due, from the start of the run.
	At     time.Duration `json:"at"`
	Detail string        `json:"detail"`
}

// maxBreaches bounds the breaches that a result lists.
const maxBreaches = 100

// breachOf returns the promise that an ending breaks by itself.
func breachOf(e Ending) (BreachKind, bool) {
	switch e {
	case Wrong:
		return WrongAnswer, true
	case Cut:
		return CutAnswer, true
	case Unanswered:
		return NoFinalAnswer, true
	default:
		return "", false
	}
}

func newBreach(k BreachKind, p *planned, detail string) Breach {
	return Breach{Kind: k, Service: p.call.Service, Call: p.call.Kind, Key: p.idem, At: p.at, Detail: detail}
}
