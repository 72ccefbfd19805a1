package scheduling

import (
	"time"

	"monsoonlever/fleet"
)

// contentionTime is how long prompts compete with one that waited. Within it, an account or route
// whose prompts wait sends its next one.
const contentionTime = time.Second

// contention is what the prompts of one priority that wait, or waited recently, mean for others.
type contention struct {
	// waiting is the number of prompts that wait, by account.
	waiting map[fleet.Account]int
	// last is the account that last stopped waiting, at lastAt, and otherAt when any other one did.
	last            fleet.Account
	lastAt, otherAt time.Time
}

func newContention() *contention { return &contention{waiting: make(map[fleet.Account]int)} }

func (c *contention) add(account fleet.Account) { c.waiting[account]++ }

func (c *contention) remove(now time.Time, account fleet.Account) {
	if c.waiting[account]--; c.waiting[account] == 0 {
		delete(c.waiting, account)
	}

	if account != c.last {
		c.last, c.otherAt = account, c.lastAt
	}

	c.lastAt = now
}

// any reports whether any account waits or waited recently.
func (c *contention) any(now time.Time) bool {
	return len(c.waiting) > 0 || now.Sub(c.lastAt) < contentionTime
}

// other reports whether an account other than the given one waits or waited recently.
func (c *contention) other(now time.Time, account fleet.Account) bool {
	if others := len(c.waiting); others > 1 || others == 1 && c.waiting[account] == 0 {
		return true
	}

	at := c.lastAt
	if c.last == account {
		at = c.otherAt
	}

	return now.Sub(at) < contentionTime
}
