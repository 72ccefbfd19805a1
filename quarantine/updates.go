package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxStoredLosses bounds the losses in a stored record, to a kilobyte.
	maxStoredLosses = 40
	// storedLossTTL is how long a weak loss that this instance observed stays in its stored
	// records: several record intervals, so that instances without a connection to it read the
	// loss there. storedStrongTTL is how long a strong loss is stored, whoever observed it: the store
	// keeps records for some seconds, and all instances may be lost between two requests that crash
	// servers.
	storedLossTTL   = 10 * time.Second
	storedStrongTTL = 4 * time.Minute
)

// lossKey identifies a loss or its clearing.
type lossKey struct {
	request Fingerprint
	server  ServerKey
	cleared bool
}

// Ready returns a channel that receives a value when there are losses to send.
func (l *Ledger) Ready() <-chan struct{} { return l.wake.C() }

// PendingLosses returns the losses to send to the peers now. The caller repeats the call at
// the interval of its messages until nothing is left.
func (l *Ledger) PendingLosses(now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()

	keys := l.outbox.take()
	pending := make([]Loss, 0, len(keys))

	for _, key := range keys {
		if s := l.suspects[key.request]; s != nil {
			e := s.losses[key.server]
			loss := Loss{Request: key.request, Server: key.server, Evidence: e.evidence, Cleared: key.cleared}
			pending = append(pending, loss.withAge(now, e.lostAt))
		}
	}

	return pending
}

// StoredLosses returns the losses for the stored record, which survives a failure of all
// instances and reaches instances that receive no messages: those of quarantined requests, strong
// ones, and weak ones that this instance observed recently.
func (l *Ledger) StoredLosses(now time.Time) []Loss {
	l.mu.Lock()
	defer l.mu.Unlock()

	order := slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int {
		x, y := l.suspects[a], l.suspects[b]

		_, strongX := x.countLosses()
		_, strongY := y.countLosses()

		return cmp.Or(y.quarantinedUntil().Compare(x.quarantinedUntil()), cmp.Compare(strongY, strongX), y.lastLoss.Compare(x.lastLoss), cmp.Compare(a, b))
	})

	var stored []Loss

	for _, f := range order {
		s := l.suspects[f]
		quarantined := s.quarantinedUntil().After(now)

		for key, e := range s.losses {
			if len(stored) == maxStoredLosses {
				return stored
			}

			age := now.Sub(e.lostAt)
			if !e.cleared && (quarantined || e.evidence == Strong && age <= storedStrongTTL || e.observed && age <= storedLossTTL) {
				stored = append(stored, Loss{Request: f, Server: key, Evidence: e.evidence}.withAge(now, e.lostAt))
			}
		}
	}

	return stored
}
