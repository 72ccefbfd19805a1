package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// toldTimes is how often a loss is told to the others: of 100 datagrams some are lost,
	// and of three in a row hardly any.
	toldTimes = 3
	// maxRecorded bounds what a record for all holds, to a kilobyte.
	maxRecorded = 40
	// recordedFor is how long an end that this instance saw stands in its records: some
	// rounds of them, so that instances which hear nothing from each other learn of it.
	recordedFor = 10 * time.Second
)

// lossKey names a loss or its clearing.
type lossKey struct {
	request Fingerprint
	server  ServerKey
	cleared bool
}

// outbox holds what is still to be told. The zero value is empty.
type outbox struct {
	left map[lossKey]int
}

func (o *outbox) add(l Loss) {
	if o.left == nil {
		o.left = make(map[lossKey]int)
	}

	o.left[lossKey{l.Request, l.Server, l.Cleared}] = toldTimes
}

// Ready returns a channel that is told when there is news.
func (l *Ledger) Ready() <-chan struct{} { return l.wake.C() }

// PendingLosses returns what the others are to be told now. It is called again, at the pace of
// messages, until nothing is left.
func (l *Ledger) PendingLosses(now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()

	news := make([]Loss, 0, len(l.outbox.left))

	for key, left := range l.outbox.left {
		if left == 1 {
			delete(l.outbox.left, key)
		} else {
			l.outbox.left[key] = left - 1
		}

		if one := l.suspects[key.request]; one != nil {
			e := one.ends[key.server]
			loss := Loss{Request: key.request, Server: key.server, Evidence: e.evidence, Cleared: key.cleared}
			news = append(news, loss.aged(now, e.at))
		}
	}

	return news
}

// StoredLosses returns what outlives a loss of all instances, and reaches those that hear no
// others: the losses of requests that are held off, and what this instance saw lately.
func (l *Ledger) StoredLosses(now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()

	order := slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int {
		x, y := l.suspects[a], l.suspects[b]

		return cmp.Or(y.heldUntil().Compare(x.heldUntil()), y.newest.Compare(x.newest), cmp.Compare(a, b))
	})

	var record []Loss

	for _, f := range order {
		one := l.suspects[f]
		held := one.heldUntil().After(now)

		for key, e := range one.ends {
			if len(record) == maxRecorded {
				return record
			}

			if !e.cleared && (held || e.seen && now.Sub(e.at) <= recordedFor) {
				record = append(record, Loss{Request: f, Server: key, Evidence: e.evidence}.aged(now, e.at))
			}
		}
	}

	return record
}
