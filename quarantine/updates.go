package quarantine

import (
	"cmp"
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

	var candidates []storedLosses

	for f, s := range l.suspects {
		if losses := s.storedLosses(now, f); len(losses) > 0 {
			_, strong := s.countLosses()
			candidates = append(candidates, storedLosses{losses: losses, strong: strong, until: s.quarantinedUntil(), lastLoss: s.lastLoss})
		}
	}

	slices.SortFunc(candidates, func(a, b storedLosses) int {
		return cmp.Or(b.until.Compare(a.until), cmp.Compare(b.strong, a.strong), b.lastLoss.Compare(a.lastLoss),
			cmp.Compare(a.losses[0].Request, b.losses[0].Request))
	})

	var stored []Loss
	for _, c := range candidates {
		stored = append(stored, c.losses...)
	}

	return stored[:min(len(stored), maxStoredLosses)]
}

// storedLosses are the losses of one request that are to be stored, with what they are ordered by.
type storedLosses struct {
	losses          []Loss
	strong          int
	until, lastLoss time.Time
}

// storedLosses returns the losses of the request that are to be stored.
func (s *suspect) storedLosses(now time.Time, f Fingerprint) []Loss {
	var losses []Loss

	quarantined := s.quarantinedUntil().After(now)

	for key, e := range s.losses {
		age := now.Sub(e.lostAt)
		if !e.cleared && (quarantined || e.evidence == Strong && age <= storedStrongTTL || e.observed && age <= storedLossTTL) {
			losses = append(losses, Loss{Request: f, Server: key, Evidence: e.evidence}.withAge(now, e.lostAt))
		}
	}

	return losses
}
