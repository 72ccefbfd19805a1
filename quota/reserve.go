package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

const (
	// reserveFraction of the remainder of an allowance is held by a few instances that lend it
	// to the others. Divided evenly among many instances, each share would be too small for
	// one large request while most of the remainder stays unused.
	reserveFraction = 0.5
	// reserveHolders is how many instances hold an account's reserve, so that half of it is
	// available while one of them is down or frozen.
	reserveHolders = 2
	// minReserveMembers is the smallest number of instances for which a reserve is worth its
	// messages.
	minReserveMembers = 4
	// continuationTTL is how long the cost of a stream that goes on is kept free after it was refused:
	// its caller returns after the Retry-After of the refusal.
	continuationTTL = 1500 * time.Millisecond
)

// Lenders returns the instances to request a loan of an account's limit from, in order: the
// holders of its reserve, then the other coordinators if there are any. All instances with the
// same members get the same order.
func (q *Quota) Lenders(name fleet.Account) []fleet.InstanceID {
	q.mu.Lock()
	defer q.mu.Unlock()

	if a := q.accounts[name]; a != nil {
		return a.lenders
	}

	return nil
}

// rankLenders orders the instances that may hold the reserve of an account by rendezvous
// hashing, the highest hash of account and instance first. An instance that joins or leaves
// moves only the reserves that it holds.
func (q *Quota) rankLenders(name fleet.Account) []fleet.InstanceID {
	if q.policy.Self == "" || q.quorum == 0 && len(q.members) < minReserveMembers {
		return nil
	}

	type rank struct {
		id     fleet.InstanceID
		weight uint64
	}

	ranks := make([]rank, 0, len(q.members))

	for id := range q.members {
		// A loan has to be recorded soon, so that only recorders lend.
		if len(q.recorders) > 0 && !slices.Contains(q.recorders, id) {
			continue
		}

		ranks = append(ranks, rank{id: id, weight: xxhash.Sum64String(string(name) + "\x00" + string(id))})
	}

	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Compare(b.weight, a.weight) })

	ids := make([]fleet.InstanceID, 0, len(ranks))
	for _, r := range ranks {
		ids = append(ids, r.id)
	}

	return ids
}

// assignReserves assigns the holders and lenders of all accounts.
func (q *Quota) assignReserves() {
	for name, a := range q.accounts {
		ranked := q.rankLenders(name)
		a.holders = ranked[:min(reserveHolders, len(ranked))]
		a.lenders = a.holders

		if q.quorum > 0 {
			a.lenders = ranked
		}
	}
}

// reserveShare is the fraction of the remainder that this instance holds as reserve.
func (q *Quota) reserveShare(a *account) float64 {
	if !slices.Contains(a.holders, q.policy.Self) {
		return 0
	}

	return reserveFraction / float64(len(a.holders))
}

// Lend consumes a charge of the reserve that this instance holds, for another instance or for
// itself. The borrower does not count it: to all other instances this instance has consumed
// it.
//
// The unrecorded part of loans is bounded, since one lender may lend within moments what
// many other instances together would consume.
func (q *Quota) Lend(now time.Time, charge Charge) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()

	if !charge.valid() || q.syncedAt.IsZero() || !q.canGrant(now) {
		return Decision{RetryAfter: minRetryAfter}
	}

	a := q.accounts[charge.Account]
	if a == nil || a.allowance.Amount <= 0 {
		// The borrower has not yet received the rules that lift the limit of the account.
		return Decision{Granted: true}
	}

	if q.paces(a) {
		return q.lendPaced(now, a, charge)
	}

	return q.lendWithinWindow(now, a, charge)
}

// lendPaced lends to a paced account what its bucket and the window allow.
func (q *Quota) lendPaced(now time.Time, a *account, charge Charge) Decision {
	q.updateBucket(now, a)

	granted, overdue := a.bucket.grants(a.allowance, charge)
	if !granted {
		return q.refusePaced(now, a, charge)
	}

	decision := q.lendWithinWindow(now, a, charge)
	if decision.Granted {
		a.bucket.take(charge, overdue)
		q.policy.Counters.pacedGranted(overdue)
	}

	return decision
}

// lendWithinWindow lends what the window allows, less what streams that go on are waiting for.
func (q *Quota) lendWithinWindow(now time.Time, a *account, charge Charge) Decision {
	kept := 0.0
	if !charge.Continues {
		kept = a.continuing.since(now.Add(-continuationTTL))
	}

	decision := q.lendExcept(now, a, charge.Cost, kept)
	if charge.Continues && !decision.Granted {
		a.continuing.add(now, charge.Cost)
	}

	return decision
}

// lendExcept lends what the window allows, except for an amount that is kept.
func (q *Quota) lendExcept(now time.Time, a *account, cost, kept float64) Decision {
	remaining, limit, recent := q.budget(now, a)
	limit += q.reserveShare(a)*remaining - kept

	if recent+cost > limit {
		return Decision{RetryAfter: q.retryAfter(a, recent+cost-limit), Remaining: remaining, Share: limit}
	}

	if wait := q.unrecordedWait(now, a); wait > 0 {
		return Decision{RetryAfter: wait, Remaining: remaining, Share: limit}
	}

	if unrecorded := a.consumed.total - a.recordedTotal; unrecorded > 0 && unrecorded+cost+kept > q.unrecordedLimit(a) {
		q.requestRecord(now, a)

		return Decision{RetryAfter: minRetryAfter, Remaining: remaining, Share: limit}
	}

	q.consume(now, a, cost)

	return Decision{Granted: true, Remaining: remaining, Share: limit}
}
