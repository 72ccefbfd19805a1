package quota

import (
	"context"
	"sync"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gossip"
)

const (
	// readPatience is how long a request waits at an instance that has just started: eight
	// instances read what was spent within 300 ms, in which 26 of 88 requests were refused
	// until 1.5 s later.
	readPatience = 500 * time.Millisecond
	// refusedLoan is how long a holder that had too little is not asked for as much
	// again: accounts far beyond their limit would ask for each request.
	refusedLoan = 200 * time.Millisecond
)

// LoanRequest is the question for a loan.
type LoanRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
	Account  fleet.Account
	Cost     float64
}

// LoanResponse is the answer to an Ask.
type LoanResponse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number   uint64
	Granted  bool
}

// Limiter takes from a Quota, and borrows from the holders of reserves what the part of
// this instance does not cover. A question or answer that is lost costs the lender
// what it lent until the window is over; nothing is ever spent twice. Its exported
// fields are set before its first use.
type Limiter struct {
	Quota *Quota
	Clock clock.Clock
	Self  fleet.InstanceID
	// Send sends a question to another instance.
	Send func(to fleet.InstanceID, ask LoanRequest)
	// Current tells whether this instance still takes requests: one that is cut off lends
	// nothing, since others take its place. Nil is always.
	Current func() bool

	questions gossip.Requests[bool]

	mu      sync.Mutex
	refused map[loanKey]refusedAsk
}

type loanKey struct {
	holder  fleet.InstanceID
	account fleet.Account
}

type refusedAsk struct {
	at   time.Time
	cost float64
}

// Take spends cost of an account's allowance here or at a holder of its reserve.
func (l *Limiter) Take(ctx context.Context, name fleet.Account, cost float64) Decision {
	l.awaitRead(ctx)

	decision := l.Quota.Take(l.Clock.Now(), name, cost)
	if decision.Granted {
		return decision
	}

	for _, holder := range l.Quota.Lenders(name) {
		if l.borrow(ctx, holder, name, cost) {
			return Decision{Granted: true, Remaining: decision.Remaining, Share: decision.Share, Lender: holder}
		}
	}

	return decision
}

// awaitRead waits for a moment at an instance that has just started and has not read yet
// what the others have spent.
func (l *Limiter) awaitRead(ctx context.Context) {
	select {
	case <-l.Quota.Synced():
		return
	default:
	}

	select {
	case <-l.Quota.Synced():
	case <-l.Clock.After(readPatience):
	case <-ctx.Done():
	}
}

// HandleRequest answers another instance's question.
func (l *Limiter) HandleRequest(ask LoanRequest) LoanResponse {
	if l.Current != nil && !l.Current() {
		return LoanResponse{Number: ask.Number}
	}

	return LoanResponse{Number: ask.Number, Granted: l.Quota.LendTo(l.Clock.Now(), ask.From, ask.Account, ask.Cost).Granted}
}

// HandleResponse takes an answer in. One that comes too late is dropped.
func (l *Limiter) HandleResponse(r LoanResponse) { l.questions.Reply(r.Number, r.Granted) }

func (l *Limiter) borrow(ctx context.Context, holder fleet.InstanceID, name fleet.Account, cost float64) bool {
	if holder == l.Self {
		return l.Quota.Lend(l.Clock.Now(), name, cost).Granted
	}

	key := loanKey{holder: holder, account: name}
	if l.refusedRecently(key, cost) {
		return false
	}

	granted, answered := l.questions.Do(ctx, l.Clock, holder, func(number uint64) {
		l.Send(holder, LoanRequest{From: l.Self, Number: number, Account: name, Cost: cost})
	})
	if answered {
		l.remember(key, cost, granted)
	}

	return granted
}

// refusedRecently reports whether a holder had too little for as much a moment ago.
func (l *Limiter) refusedRecently(key loanKey, cost float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	last, ok := l.refused[key]

	return ok && cost >= last.cost && l.Clock.Now().Sub(last.at) < refusedLoan
}

func (l *Limiter) remember(key loanKey, cost float64, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if granted {
		delete(l.refused, key)

		return
	}

	if l.refused == nil {
		l.refused = make(map[loanKey]refusedAsk)
	}

	l.refused[key] = refusedAsk{at: l.Clock.Now(), cost: cost}
}
