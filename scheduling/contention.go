package scheduling

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Contention tells other instances that a prompt of an account waits for the servers of a service.
type Contention struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Priority uint8
	Account  Key
}

const (
	// contentionInterval is how often instances tell each other of the same contention.
	contentionInterval = contentionTime / 2
	// maxContentions bounds the contentions in an update.
	maxContentions = 64
	// toldAccounts is how many accounts of one priority are told: with two, each account competes with
	// another one.
	toldAccounts = 2
)

// contentionLog remembers which contentions were told, and when. It is safe for concurrent use.
type contentionLog struct {
	mu   sync.Mutex
	told map[contentionGroup][toldAccounts]toldContention
}

type contentionGroup struct {
	service  fleet.Service
	priority uint8
}

type toldContention struct {
	account Key
	at      time.Time
}

// due reports whether a contention should be told, and records that it is.
func (l *contentionLog) due(now time.Time, c Contention) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	group := contentionGroup{service: c.Service, priority: c.Priority}
	told, free := l.told[group], -1

	for i, t := range told {
		switch {
		case now.Sub(t.at) >= contentionInterval:
			free = i
		case t.account == c.Account:
			return false
		}
	}

	if free < 0 {
		return false
	}

	if l.told == nil {
		l.told = make(map[contentionGroup][toldAccounts]toldContention)
	}

	told[free] = toldContention{account: c.Account, at: now}
	l.told[group] = told

	return true
}

// publishContention queues a contention for other instances, unless it was told recently.
func (s *Scheduler) publishContention(now time.Time, c Contention, upstream bool) {
	if !s.contentions.due(now, c) {
		return
	}

	s.outboxes[Downstream].addContention(c)

	if upstream {
		s.outboxes[Upstream].addContention(c)
	}
}

// receiveContention applies a contention of another instance. Those of unknown services are ignored.
func (s *Scheduler) receiveContention(now time.Time, c Contention, upstream bool) {
	if pools := s.pools.Load(); pools == nil || len((*pools)[c.Service]) == 0 {
		return
	}

	s.queue(c.Service).noteRemote(now, c)
	s.publishContention(now, c, upstream)
}

// contentionTime is how long prompts compete with one that waited. Within it, an account or route
// whose prompts wait sends its next one.
const contentionTime = time.Second

// contention is what the prompts of one priority that wait, or waited recently, mean for others.
type contention struct {
	// waiting is the number of prompts that wait, by account.
	waiting map[fleet.Account]int
	// last is the account of which a prompt was last known to wait, at lastAt, and otherAt when one
	// of any other account was.
	last            Key
	lastAt, otherAt time.Time
}

func newContention() *contention { return &contention{waiting: make(map[fleet.Account]int)} }

func (c *contention) add(account fleet.Account) { c.waiting[account]++ }

func (c *contention) remove(now time.Time, account fleet.Account) {
	if c.waiting[account]--; c.waiting[account] == 0 {
		delete(c.waiting, account)
	}

	c.note(now, keyOf(string(account)))
}

// note records that a prompt of an account waited, here or on another instance.
func (c *contention) note(now time.Time, account Key) {
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
	if c.last == keyOf(string(account)) {
		at = c.otherAt
	}

	return now.Sub(at) < contentionTime
}
