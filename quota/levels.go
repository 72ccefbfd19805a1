package quota

import (
	"cmp"
	"slices"
	"time"

	"monsoonlever/fleet"
)

const (
	// shownLevels bounds the series of levels, and shownLevelTTL is how long an account has one
	// after a request of it was refused.
	shownLevels   = 8
	shownLevelTTL = time.Minute
)

// PacedLevel is what a paced account may consume at once, as its lender knows it.
type PacedLevel struct {
	account   fleet.Account
	level     float64
	refusedAt time.Time
}

// Account returns the account.
func (l PacedLevel) Account() fleet.Account { return l.account }

// Level returns the level in the unit of the account's limit. It is negative while a grant is owed.
func (l PacedLevel) Level() float64 { return l.level }

// PacedLevels returns the levels of the accounts that this instance paced lately, the latest first
// and eight at most.
func (q *Quota) PacedLevels(now time.Time) []PacedLevel {
	q.mu.Lock()
	defer q.mu.Unlock()

	var levels []PacedLevel

	for name, a := range q.accounts {
		if !q.paces(a) || a.bucket.refusedAt.IsZero() || now.Sub(a.bucket.refusedAt) > shownLevelTTL {
			continue
		}

		a.bucket.refill(now, a.allowance)
		levels = append(levels, PacedLevel{account: name, level: a.bucket.level, refusedAt: a.bucket.refusedAt})
	}

	slices.SortFunc(levels, func(a, b PacedLevel) int {
		return cmp.Or(b.refusedAt.Compare(a.refusedAt), cmp.Compare(a.account, b.account))
	})

	return levels[:min(shownLevels, len(levels))]
}
