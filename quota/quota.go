// Package quota enforces the limits of client accounts over all entry instances. A limit
// allows a number of tokens or requests within any time window of a given length.
//
// Every instance publishes what it has consumed since it started. All instances know the
// consumption that is older than the propagation delay of these updates, so they can divide
// what remains of the window's allowance: each instance may consume its share of the
// remainder within one propagation delay. However the load shifts between instances, all
// together stay within the allowance as long as updates arrive in time. While they do not,
// an instance stays within its share of the whole allowance.
//
// Half of the remainder is the reserve of an account. Few instances hold it and lend it to
// the others (Limiter), so that a large request finds enough in one place. In a large fleet
// a few coordinators enforce the limits for all other instances, which request a loan from
// them for each request (SetCoordinators).
//
// Where coordinators enforce the limits, the first lender of an account that has a burst also
// paces it: a token bucket of its rate and burst decides which requests are granted within the
// window's allowance, small and urgent ones first. Callers that are refused are told to return one
// after the other.
//
// Dividing the rate would be simpler, but a large request costs many times what a share of
// the rate refills in a second: most large requests of accounts far below their limit would
// be refused.
//
// # Usage
//
//	q := quota.New(quota.Policy{Window: 8 * time.Second, PropagationDelay: 2500 * time.Millisecond})
//	q.Configure(allowances)
//	q.Receive(now, "entry-2", incarnation, consumption)
//	decision := q.Take(now, "wholesale-1", 12_000)
//
//	limiter := &quota.Limiter{Quota: q, Clock: clk, Self: "entry-1", Send: send}
//	decision = limiter.Take(ctx, quota.Charge{Account: "wholesale-1", Cost: 54_000})
package quota

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Policy holds the settings of a Quota.
type Policy struct {
	// Self is this instance, which may hold reserves. If it is empty, there are no reserves.
	Self fleet.InstanceID
	// Window is the length of the window in which allowances apply.
	Window time.Duration
	// PropagationDelay is the time after which all instances know what an instance has
	// consumed.
	PropagationDelay time.Duration
	// DirectDelay returns that delay for a number of members while all of them acknowledge
	// updates directly (Acknowledged). If it is nil, PropagationDelay always applies.
	DirectDelay func(members int) time.Duration
	// RequestRecord requests that the next durable record of consumption is written soon; nil
	// requests nothing.
	RequestRecord func()
	// Counters count the loans of paced accounts. Nil counts nothing.
	Counters *Counters
}

// UnrecordedFraction is the fraction of an allowance that may be consumed before it is
// recorded. Once records are overdue (Quota.Recorded), more may be consumed at the rate of the
// whole allowance in a window.
const UnrecordedFraction = 0.25

// Allowance is what an account may consume in a window, over all instances.
type Allowance struct {
	Account fleet.Account
	// Amount is in the unit of the account's limit.
	Amount float64
	// Rate is the operators' rate per second, and Burst how much the account may consume at once
	// beyond it. Neither contains a tolerance.
	Rate, Burst float64
}

// Consumption is what one instance has consumed of an account's limit since it started.
type Consumption struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Account  fleet.Account
	Total    float64
	// Recent is the part of Total that was consumed within the last window.
	Recent float64
	// Asked is the demand: the cost of all requests, granted or not. Shares follow it.
	Asked float64
	// Ages divides Recent into buckets by age, the oldest first. Only durable records contain
	// it.
	Ages []uint32
}

// ageBuckets is the number of buckets into which a window is divided by age.
const ageBuckets = 8

const (
	// evenFraction of the shares is divided evenly, so that an account that starts to use
	// another instance is served there immediately. The rest follows demand.
	evenFraction = 0.5
	// usableFraction is the fraction of an allowance that is granted. Instances learn each
	// other's demand at slightly different times, so their shares may add up to more than one.
	usableFraction = 0.92
	// largeRequestFraction of the remainder may go to one request at an instance that has
	// consumed nothing recently, since a large request may exceed the share of any instance.
	// largeRequestTotal bounds what all members of a large fleet may grant this way, as a
	// multiple of the remainder.
	largeRequestFraction = 0.25
	largeRequestTotal    = 2.25
	// demandWindows is the number of windows over which demand is measured.
	demandWindows = 2
	// recordThreshold is the fraction of the unrecorded limit at which a record is requested.
	// The rest is for consumption until the record is written.
	recordThreshold = 0.6
	// firstSyncGrace is how long nothing is granted if no records could be read: all instances
	// may have restarted at the same time, after they had consumed the whole allowance.
	firstSyncGrace = 1500 * time.Millisecond
	// assumedMembers is the number of instances that is assumed while no member is known.
	assumedMembers = 16
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Quota is one instance's view of all limits. It is safe for concurrent use.
type Quota struct {
	policy Policy

	mu       sync.Mutex
	accounts map[fleet.Account]*account
	// configured is set by the first Configure, and pendingRestore restores what was read before it.
	configured     bool
	pendingRestore func()
	members        map[fleet.InstanceID]bool
	// recorders are the members that record the consumption of all instances.
	recorders []fleet.InstanceID
	// restored holds, for each instance, the incarnation whose consumption before this
	// instance started was restored from a record of the consumption of all instances.
	restored map[fleet.InstanceID]fleet.Incarnation
	// firstRequest is when the first request arrived.
	firstRequest time.Time
	// syncedAt is when the records of the other instances were last read to the end.
	// acknowledged holds, for each other instance, the time up to which it knows the
	// consumption of this one.
	syncedAt     time.Time
	acknowledged map[fleet.InstanceID]time.Time
	// recordedAt is the time until which a durable record contains the consumption of all instances;
	// the zero time is unknown.
	recordedAt time.Time
	// synced is closed once the records of the other instances were read to the end.
	synced chan struct{}
	// quorum is how many coordinators must be connected before one grants; it is zero where
	// all members share the allowances. delegated is set if other instances are the
	// coordinators. coordinatorSince is when this instance became a coordinator.
	quorum           int
	delegated        bool
	coordinatorSince time.Time
}

// account is the state of one account.
type account struct {
	allowance Allowance
	consumed  history
	demand    history
	// continuing is the cost of streams that go on and were refused.
	continuing history
	// recordedTotal is the part of consumed that is in a durable record.
	recordedTotal float64
	remotes       map[fleet.InstanceID]*remote
	// holders are the instances that hold the reserve. lenders are those that loans are
	// requested from, in this order.
	holders, lenders []fleet.InstanceID
	// restored is what all instances had consumed before this one started.
	restored history
	// assumed is what others are assumed to have consumed without recording it.
	assumed history
	// globalTotal is what all instances have consumed, as far as this one knows.
	// globalRecorded is the part of it that is in a record of this instance.
	globalTotal, globalRecorded float64
	// unrecordedSince is since when too much is in no durable record to grant more; zero if it is not.
	unrecordedSince time.Time
	// bucket paces the account where coordinators grant its loans.
	bucket bucket
}

// remote is the consumption and demand that another instance published.
type remote struct {
	incarnation fleet.Incarnation
	// baseConsumed and baseDemand are the totals of its earlier incarnations.
	baseConsumed, baseDemand float64
	consumed, demand         history
}

// New returns a Quota without allowances.
func New(p Policy) *Quota {
	return &Quota{
		policy: p, accounts: make(map[fleet.Account]*account), members: make(map[fleet.InstanceID]bool),
		acknowledged: make(map[fleet.InstanceID]time.Time), synced: make(chan struct{}),
	}
}

// Configure replaces the allowances. The state of accounts that remain is kept.
func (q *Quota) Configure(allowances []Allowance) {
	if pending := q.replaceAllowances(allowances); pending != nil {
		pending()
	}
}

// replaceAllowances returns what is still to be restored.
func (q *Quota) replaceAllowances(allowances []Allowance) (pending func()) {
	q.mu.Lock()
	defer q.mu.Unlock()

	next := make(map[fleet.Account]*account, len(allowances))

	for _, a := range allowances {
		entry := q.accounts[a.Account]
		if entry == nil {
			entry = &account{remotes: make(map[fleet.InstanceID]*remote)}
		}

		if !a.paced() {
			entry.bucket = bucket{}
		}

		entry.allowance = a
		next[a.Account] = entry
	}

	q.accounts, q.configured = next, true
	q.assignReserves()

	pending, q.pendingRestore = q.pendingRestore, nil

	return pending
}

// Decision is the result of Take and Lend.
type Decision struct {
	Granted bool
	// RetryAfter is the delay after which capacity may be available, if nothing was granted.
	RetryAfter time.Duration
	// Remaining is what was left of the allowance, and Share how much of it this instance
	// could consume. Both are for logs.
	Remaining, Share float64
	// Lender is the instance that granted a loan, or refused it for Paced. Otherwise it is empty.
	Lender fleet.InstanceID
	// AwaitsRecord is set if more is likely to be granted once a durable record is written, within
	// recordTimeout.
	AwaitsRecord bool
	// Paced is set if the account has used up its burst. The decision is final: no other lender
	// grants more.
	Paced bool
}

// Take consumes cost of an account's allowance if this instance's share covers it. An account
// without an allowance is not limited.
func (q *Quota) Take(now time.Time, name fleet.Account, cost float64) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()

	a := q.accounts[name]
	if a == nil || a.allowance.Amount <= 0 {
		return Decision{Granted: true}
	}

	if q.delegated || q.paces(a) {
		// The first lender decides, which knows the level of a paced account.
		return Decision{RetryAfter: minRetryAfter}
	}

	a.demand.add(now, cost)

	if !q.canGrant(now) {
		return Decision{RetryAfter: minRetryAfter}
	}

	if q.firstRequest.IsZero() {
		q.firstRequest = now
	}

	if q.syncedAt.IsZero() && now.Sub(q.firstRequest) < firstSyncGrace {
		return Decision{RetryAfter: firstSyncGrace}
	}

	remaining, limit, recent := q.budget(now, a)
	if wait := q.unrecordedWait(now, a); wait > 0 {
		return Decision{RetryAfter: wait, Remaining: remaining, Share: limit, AwaitsRecord: q.awaitsRecord(now, a)}
	}

	a.unrecordedSince = time.Time{}

	if recent+cost <= limit || recent == 0 && cost <= q.largeRequestShare(a)*remaining && recent+cost <= remaining {
		q.consume(now, a, cost)

		return Decision{Granted: true, Remaining: remaining, Share: limit}
	}

	return Decision{RetryAfter: q.retryAfter(a, recent+cost-limit), Remaining: remaining, Share: limit}
}
