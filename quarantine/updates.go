package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// sendsPerLoss is how often a loss is told to the others: of 100 datagrams some are lost,
	// and of three in a row hardly any.
	sendsPerLoss = 3
	// maxStoredLosses bounds what a record for all holds, to a kilobyte.
	maxStoredLosses = 40
	// storedLossTTL is how long an end that this instance saw stands in its records: some
	// rounds of them, so that instances which hear nothing from each other learn of it.
	storedLossTTL = 10 * time.Second
)

// lossKey names a loss or its clearing.
type lossKey struct {
	request Fingerprint
	server  ServerKey
	cleared bool
}

// outbox holds what is still to be told. The zero value is empty.
type outbox struct {
	remainingSends map[lossKey]int
}

func (o *outbox) add(l Loss) {
	if o.remainingSends == nil {
		o.remainingSends = make(map[lossKey]int)
	}

	o.remainingSends[lossKey{l.Request, l.Server, l.Cleared}] = sendsPerLoss
}

// Ready returns a channel that is told when there is news.
func (l *Ledger) Ready() <-chan struct{} { return l.wake.C() }

// PendingLosses returns what the others are to be told now. It is called again, at the pace of
// messages, until nothing is left.
func (l *Ledger) PendingLosses(now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()

	pending := make([]Loss, 0, len(l.outbox.remainingSends))

	for key, left := range l.outbox.remainingSends {
		if left == 1 {
			delete(l.outbox.remainingSends, key)
		} else {
			l.outbox.remainingSends[key] = left - 1
		}

		if s := l.suspects[key.request]; s != nil {
			e := s.losses[key.server]
			loss := Loss{Request: key.request, Server: key.server, Evidence: e.evidence, Cleared: key.cleared}
			pending = append(pending, loss.withAge(now, e.lostAt))
		}
	}

	return pending
}

// StoredLosses returns what outlives a loss of all instances, and reaches those that hear no
// others: the losses of requests that are held off, and what this instance saw lately.
func (l *Ledger) StoredLosses(now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()

	order := slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int {
		x, y := l.suspects[a], l.suspects[b]

		return cmp.Or(y.quarantinedUntil().Compare(x.quarantinedUntil()), y.lastLoss.Compare(x.lastLoss), cmp.Compare(a, b))
	})

	var stored []Loss

	for _, f := range order {
		s := l.suspects[f]
		quarantined := s.quarantinedUntil().After(now)

		for key, e := range s.losses {
			if len(stored) == maxStoredLosses {
				return stored
			}

			if !e.cleared && (quarantined || e.observed && now.Sub(e.lostAt) <= storedLossTTL) {
				stored = append(stored, Loss{Request: f, Server: key, Evidence: e.evidence}.withAge(now, e.lostAt))
			}
		}
	}

	return stored
}
