// Package quota holds the limits of client accounts over all entry instances,
// where a limit allows a number of tokens or requests in any span of a window.
//
// Every instance tells the others how much it has spent since it started. What
// was spent longer ago than the time in which such news spreads is known to all,
// so that the rest of the window's allowance can be divided: each instance may
// spend its part of the rest within that time. However the spending shifts
// between instances, all together stay within the allowance as long as news
// spreads in time; while it does not, an instance keeps to its part of the whole.
//
// Half of the rest is the reserve of an account. Few instances hold it and lend it to
// the others (Loans), so that a large request finds enough in one place. Of many
// instances a few keep the limits for all others, which ask them (Keepers).
//
// Shares of a rate would be simpler, but a prompt of a large request is many times
// what a share earns in a second: most large requests of an account far below its
// limit were refused.
//
// # Usage
//
//	q := quota.New(quota.Policy{Window: 8 * time.Second, Spread: 2500 * time.Millisecond})
//	q.Configure(allowances)
//	q.Hear(now, "entry-2", incarnation, spent)
//	decision := q.Take(now, "wholesale-1", 12_000)
//
//	loans := &quota.Loans{Quota: q, Clock: clk, Self: "entry-1", Send: send}
//	decision = loans.Take(ctx, "wholesale-1", 54_000)
package quota

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Policy sets the spans that count.
type Policy struct {
	// Self is this instance, which may hold reserves; without it there are none.
	Self fleet.InstanceID
	// Window is the span over which allowances hold.
	Window time.Duration
	// PropagationDelay is the time in which what an instance has spent is known to all.
	PropagationDelay time.Duration
	// DirectDelay is the same while all members are heard directly, which Heard tells;
	// zero is never.
	DirectDelay func(members int) time.Duration
	// RequestRecord asks for the next record of what was spent to be made soon; nil is not
	// asked. Together all instances have spent no more than Untold of an allowance,
	// and one request each, that no record tells.
	RequestRecord func()
}

// UnrecordedFraction is the part of an allowance that may be spent before it is recorded.
const UnrecordedFraction = 0.25

// Allowance is what an account may spend in a window, over all instances.
type Allowance struct {
	Account fleet.Account
	// Amount is in the unit of the account's limit.
	Amount float64
	// Rate is what is earned again in a second; it serves Retry-After.
	Rate float64
}

// Consumption is what one instance has spent of an account's limit since its start.
type Consumption struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Account  fleet.Account
	Total    float64
	// Recent is the part of Total that was spent within the last window.
	Recent float64
	// Asked is what callers asked for, granted or not; shares follow it.
	Asked float64
	// Ages divides Recent by age, the oldest part of the window first. Only records
	// have it.
	Ages []uint32
}

// ages is the number of parts of a window by which Recent is divided.
const ages = 8

const (
	// evenPart of what may be spent is divided evenly, so that an account that turns
	// to another instance is served there at once; the rest follows demand.
	evenPart = 0.5
	// safety is the part of an allowance that is spent: instances know each other's
	// demand at slightly different times, and their parts may add up to more than one.
	safety = 0.92
	// largePart of the rest may go to one request of an instance that has spent nothing
	// lately, since a large request may exceed any instance's part; largeTotal bounds
	// what all instances together may give so, where they are many.
	largePart  = 0.25
	largeTotal = 2.25
	// demandSpan is how far back demand is looked at, in windows.
	demandSpan = 2
	// recordPart is the part of Untold at which a record is asked for; the rest is for
	// what is spent until it is made.
	recordPart = 0.6
	// firstRead is how long nothing is granted while nothing was read of the others:
	// all instances may have started at once, after they had spent the whole.
	firstRead = 1500 * time.Millisecond
	// unknownMembers is how many instances are assumed where none is known.
	unknownMembers = 16
	// firstRetry and lastRetry bound when a caller is told to come back.
	firstRetry = 300 * time.Millisecond
	lastRetry  = 4 * time.Second
)

// Quota is the view of one instance. It is safe for concurrent use.
type Quota struct {
	policy Policy

	mu       sync.Mutex
	accounts map[fleet.Account]*account
	members  map[fleet.InstanceID]bool
	// recorders are the members that record what all have spent.
	recorders []fleet.InstanceID
	// covered are runs whose spending before this instance started was inherited from
	// a record of all.
	covered map[fleet.InstanceID]fleet.Incarnation
	// begun is when the first request came.
	begun time.Time
	// reached is when the others' news was last read to its end, and heard the
	// newest time up to which each other knows what this one spent.
	reached time.Time
	heard   map[fleet.InstanceID]time.Time
	// read is closed once the others' news was read.
	read chan struct{}
	// quorum is how many keepers must hear each other, zero where all instances share the
	// allowances. client tells that others keep them, and joined since when this one does.
	quorum int
	client bool
	joined time.Time
}

// account is what is known of one account.
type account struct {
	allowance Allowance
	own       history
	ownAsked  history
	// recorded is the part of own that a record tells.
	recorded float64
	others   map[fleet.InstanceID]*other
	// holders are the instances that hold the reserve, and lenders those that are asked,
	// in their order.
	holders, lenders []fleet.InstanceID
	// inherited is what all had spent before this instance started.
	inherited history
	// unheard stands for what others may have spent that no record told.
	unheard history
	// known is what all have spent as far as this instance knows, and knownRecorded
	// the part of it that a record of this instance tells.
	known, knownRecorded float64
}

// other is what another instance told.
type other struct {
	incarnation fleet.Incarnation
	// base is what earlier runs of it had told.
	baseSpent, baseAsked float64
	spent, asked         history
}

// New returns a quota that knows no account.
func New(p Policy) *Quota {
	return &Quota{
		policy: p, accounts: make(map[fleet.Account]*account), members: make(map[fleet.InstanceID]bool),
		heard: make(map[fleet.InstanceID]time.Time), read: make(chan struct{}),
	}
}

// Configure puts allowances in force and keeps what is known of accounts that stay.
func (q *Quota) Configure(allowances []Allowance) {
	q.mu.Lock()
	defer q.mu.Unlock()

	next := make(map[fleet.Account]*account, len(allowances))

	for _, a := range allowances {
		one := q.accounts[a.Account]
		if one == nil {
			one = &account{others: make(map[fleet.InstanceID]*other)}
		}

		one.allowance = a
		next[a.Account] = one
	}

	q.accounts = next
	q.placeReserves()
}

// Decision is the answer to Take.
type Decision struct {
	Granted bool
	// RetryAfter is when there may be room, where nothing was granted.
	RetryAfter time.Duration
	// Remaining is what was left of the allowance, and Share what this instance could
	// spend of it, for logs.
	Remaining, Share float64
	// Lender is the instance that the allowance was borrowed from, or empty.
	Lender fleet.InstanceID
}

// Take spends cost of an account's allowance, if there is room. An account
// without an allowance is not limited.
func (q *Quota) Take(now time.Time, name fleet.Account, cost float64) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()

	a := q.accounts[name]
	if a == nil || a.allowance.Amount <= 0 {
		return Decision{Granted: true}
	}

	if q.client {
		return Decision{RetryAfter: firstRetry}
	}

	a.ownAsked.add(now, cost)

	if !q.grants(now) {
		return Decision{RetryAfter: firstRetry}
	}

	if q.begun.IsZero() {
		q.begun = now
	}

	if q.reached.IsZero() && now.Sub(q.begun) < firstRead {
		return Decision{RetryAfter: firstRead}
	}

	rest, part, recent := q.room(now, a)
	if recent+cost <= part || recent == 0 && cost <= q.large(a)*rest && recent+cost <= rest {
		q.spend(now, a, cost)

		return Decision{Granted: true, Remaining: rest, Share: part}
	}

	return Decision{RetryAfter: q.retryAfter(a, recent+cost-part), Remaining: rest, Share: part}
}
