package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlever/fleet"
)

const (
	// reservePart of the rest of an allowance is held by a few instances that lend it
	// to the others: divided evenly, the parts of many instances are each too small for
	// one large request, while most of the rest lies idle.
	reservePart = 0.5
	// holders is how many instances hold an account's reserve, so that half of it is
	// there while one is gone or frozen.
	holders = 2
	// fewest is how many instances make a reserve worth its messages.
	fewest = 4
)

// Lenders returns the instances that are asked for a loan of an account's limit, in their
// order: those that hold its reserve, and then the other keepers where there are some. All
// that know the same members name the same ones.
func (q *Quota) Lenders(name fleet.Account) []fleet.InstanceID {
	q.mu.Lock()
	defer q.mu.Unlock()

	if a := q.accounts[name]; a != nil {
		return a.lenders
	}

	return nil
}

// holdersOf returns those that may hold the reserve of an account, the one with the
// highest hash of account and instance first. One that comes or goes moves only the
// reserves that it has.
func (q *Quota) holdersOf(name fleet.Account) []fleet.InstanceID {
	if q.policy.Self == "" || q.quorum == 0 && len(q.members) < fewest {
		return nil
	}

	type rank struct {
		id     fleet.InstanceID
		weight uint64
	}

	ranks := make([]rank, 0, len(q.members))

	for id := range q.members {
		// What is lent has to be recorded soon.
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

// placeReserves finds the holders of all reserves anew.
func (q *Quota) placeReserves() {
	for name, a := range q.accounts {
		ranked := q.holdersOf(name)
		a.holders = ranked[:min(holders, len(ranked))]
		a.lenders = a.holders

		if q.quorum > 0 {
			a.lenders = ranked
		}
	}
}

// held is the part of the rest that this instance holds as reserve.
func (q *Quota) held(a *account) float64 {
	if !slices.Contains(a.holders, q.policy.Self) {
		return 0
	}

	return reservePart / float64(len(a.holders))
}

// Lend spends cost of the reserve that this instance holds, for another one or
// itself. The borrower may then spend as much without counting it: for all others it
// is as if this instance had spent it.
//
// What is lent and not recorded yet is bounded, since one instance lends in a moment
// what many others together would spend.
func (q *Quota) Lend(now time.Time, name fleet.Account, cost float64) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()

	if cost <= 0 || q.reached.IsZero() || !q.grants(now) {
		return Decision{RetryAfter: firstRetry}
	}

	a := q.accounts[name]
	if a == nil || a.allowance.Amount <= 0 {
		// The borrower has yet to get the rules that limit the account no longer.
		return Decision{Granted: true}
	}

	rest, part, recent := q.room(now, a)
	part += q.held(a) * rest

	if recent+cost > part {
		return Decision{RetryAfter: q.retryAfter(a, recent+cost-part), Remaining: rest, Share: part}
	}

	if untold := a.own.total - a.recorded; untold > 0 && untold+cost > q.untold(a) {
		q.tell(now, a)

		return Decision{RetryAfter: firstRetry, Remaining: rest, Share: part}
	}

	q.spend(now, a, cost)

	return Decision{Granted: true, Remaining: rest, Share: part}
}
