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
	// firstSyncTimeout is how long a request waits at an instance that has just started. Eight
	// starting instances read the records within 300 ms; without the wait, 26 of 88 requests
	// in that time were refused until 1.5 s later.
	firstSyncTimeout = 500 * time.Millisecond
	// refusedLoanBackoff is how long an instance that refused a loan is not asked for as much
	// again. Otherwise accounts far beyond their limit would cause a loan request for each of
	// their requests.
	refusedLoanBackoff = 200 * time.Millisecond
	// recordPollInterval is the time between two attempts of a request that waits for a record.
	recordPollInterval = 50 * time.Millisecond
	// continuationTimeout is how long the rest of a stream waits for a loan: lenders lend only so much
	// until it is recorded, which takes some 300 ms, and callers abandon a stream after two seconds.
	// continuationInterval is the time between two attempts.
	continuationTimeout  = time.Second
	continuationInterval = refusedLoanBackoff
)

// LoanRequest asks another instance to consume cost on behalf of the sender.
type LoanRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
	Account  fleet.Account
	Cost     float64
	// Priority is that of the Charge. It is not part of the encoding, whose number of fields
	// earlier versions check.
	Priority int `msgpack:"-"`
	// Continues is that of the Charge, and not part of the encoding either.
	Continues bool `msgpack:"-"`
}

// LoanResponse is the response to a LoanRequest.
type LoanResponse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number   uint64
	Granted  bool
	// PacedFor is after which time the account's bucket is likely to grant the charge, if it did
	// not. It is not part of the encoding, like LoanRequest.Priority.
	PacedFor time.Duration `msgpack:"-"`
}

// Limiter takes from a Quota, and requests a loan from the lenders if this instance's share
// does not cover a request. If the response to a granted loan is lost, the loan stays consumed
// at the lender until it leaves the window; nothing is granted twice. Its exported fields are
// set before its first use.
type Limiter struct {
	Quota *Quota
	Clock clock.Clock
	Self  fleet.InstanceID
	// Send sends a loan request to another instance.
	Send func(to fleet.InstanceID, request LoanRequest)
	// Current reports whether this instance still accepts requests. One that is cut off lends
	// nothing, since others may have replaced it. Nil means always.
	Current func() bool

	requests gossip.Requests[LoanResponse]

	mu      sync.Mutex
	refused map[loanKey]refusedLoan
}

type loanKey struct {
	lender    fleet.InstanceID
	account   fleet.Account
	continues bool
}

type refusedLoan struct {
	at   time.Time
	cost float64
}

// Take consumes a charge of its account's allowance, from the share of this instance or as a loan. The
// rest of a stream waits for it for a while, and any request for a durable record that is due.
func (l *Limiter) Take(ctx context.Context, charge Charge) Decision {
	l.awaitSync(ctx)

	began := l.Clock.Now()
	decision := l.take(ctx, charge)

	for decision.AwaitsRecord && ctx.Err() == nil {
		clock.Sleep(ctx, l.Clock, recordPollInterval)

		decision = l.take(ctx, charge)
	}

	for charge.Continues && !decision.Granted && !decision.Paced && l.Clock.Now().Sub(began) < continuationTimeout && ctx.Err() == nil {
		clock.Sleep(ctx, l.Clock, continuationInterval)

		decision = l.take(ctx, charge)
	}

	return decision
}

func (l *Limiter) take(ctx context.Context, charge Charge) Decision {
	decision := l.Quota.Take(l.Clock.Now(), charge.Account, charge.Cost)
	if decision.Granted || decision.AwaitsRecord {
		return decision
	}

	for _, lender := range l.Quota.Lenders(charge.Account) {
		loan := l.borrow(ctx, lender, charge)
		if loan.Granted {
			return Decision{Granted: true, Remaining: decision.Remaining, Share: decision.Share, Lender: lender}
		}

		if loan.PacedFor > 0 {
			return Decision{Paced: true, RetryAfter: min(max(loan.PacedFor, minRetryAfter), maxRetryAfter), Lender: lender}
		}
	}

	return decision
}

// awaitSync waits briefly if this instance has just started and has not yet read what the
// other instances have consumed.
func (l *Limiter) awaitSync(ctx context.Context) {
	select {
	case <-l.Quota.Synced():
		return
	default:
	}

	select {
	case <-l.Quota.Synced():
	case <-l.Clock.After(firstSyncTimeout):
	case <-ctx.Done():
	}
}

// HandleRequest handles the loan request of another instance.
func (l *Limiter) HandleRequest(request LoanRequest) LoanResponse {
	if l.Current != nil && !l.Current() {
		return LoanResponse{Number: request.Number}
	}

	decision := l.Quota.LendTo(l.Clock.Now(), request.From, Charge{
		Account: request.Account, Cost: request.Cost, Priority: request.Priority, Continues: request.Continues,
	})

	return loanResponse(request.Number, decision)
}

// HandleResponse delivers the response to a pending loan request. A response after the timeout
// is discarded.
func (l *Limiter) HandleResponse(response LoanResponse) {
	l.requests.Reply(response.Number, response)
}

func (l *Limiter) borrow(ctx context.Context, lender fleet.InstanceID, charge Charge) LoanResponse {
	if lender == l.Self {
		return loanResponse(0, l.Quota.LendTo(l.Clock.Now(), l.Self, charge))
	}

	key := loanKey{lender: lender, account: charge.Account, continues: charge.Continues}
	if l.refusedRecently(key, charge.Cost) {
		return LoanResponse{}
	}

	response, responded := l.requests.Do(ctx, l.Clock, lender, func(number uint64) {
		l.Send(lender, LoanRequest{
			From: l.Self, Number: number, Account: charge.Account, Cost: charge.Cost, Priority: charge.Priority, Continues: charge.Continues,
		})
	})
	if responded && response.PacedFor == 0 {
		l.recordOutcome(key, charge.Cost, response.Granted)
	}

	return response
}

func loanResponse(number uint64, d Decision) LoanResponse {
	response := LoanResponse{Number: number, Granted: d.Granted}
	if d.Paced {
		response.PacedFor = d.RetryAfter
	}

	return response
}

// refusedRecently reports whether a lender refused the same or a smaller cost within
// refusedLoanBackoff.
func (l *Limiter) refusedRecently(key loanKey, cost float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	last, ok := l.refused[key]

	return ok && cost >= last.cost && l.Clock.Now().Sub(last.at) < refusedLoanBackoff
}

func (l *Limiter) recordOutcome(key loanKey, cost float64, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if granted {
		delete(l.refused, key)

		return
	}

	if l.refused == nil {
		l.refused = make(map[loanKey]refusedLoan)
	}

	l.refused[key] = refusedLoan{at: l.Clock.Now(), cost: cost}
}
