// Package quarantine refuses requests that crash each backend server that starts to process
// them.
//
// Callers repeat such a request (a poison message) under a new id and at any entry instance,
// so neither its id nor the memory of a single instance identifies it. A Ledger counts, by
// Fingerprint, the servers that were lost while they processed a request, and exchanges its
// losses with the ledgers of the other instances. A request is quarantined after three
// servers were lost at the begin of its answer, or five at any time of its answer.
//
// Harmless requests that ran on the same servers are lost at the same time. Therefore only
// the loss of a server that had not announced its stop counts against a request, and a loss
// at the begin of the request's answer counts most. One complete answer to the request clears
// all its losses at all instances.
//
// # Usage
//
//	var l quarantine.Ledger
//	f := quarantine.FingerprintOf(account, method, host, target, body)
//	if left, quarantined := l.Quarantined(now, f); quarantined {
//		return refuse(left)
//	}
//	// The server crashed while it processed the request:
//	l.RecordLoss(now, f, process, quarantine.Strong)
//	// The complete answer arrived:
//	l.RecordAnswer(now, f)
//	// Exchange losses with the other instances:
//	send(l.PendingLosses(now))
//	l.Merge(now, losses, relay)
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"monsoonlever/feed"
	"monsoonlever/register"
)

const (
	// minStrongLosses is the number of server losses at the begin of a request's answer that
	// quarantine the request; operators tolerate this many. minLosses is the number of losses
	// at any time of the answer: one more than a stream that runs beside harmful requests
	// suffers, including its resumptions and its caller's repetition
	// (TestRequestsBesideHarmfulOnesAreNotQuarantined).
	minStrongLosses = 3
	minLosses       = 5
	// quarantineDuration is how long a request is quarantined after its newest loss. By then,
	// a caller that repeats the request has left or has been refused all that time. The
	// request may then crash one more server before it is quarantined again.
	quarantineDuration = 10 * time.Minute
	// suspectTTL is how long a request is remembered after its newest loss.
	suspectTTL = 2 * quarantineDuration
	// maxSuspects bounds the remembered requests, to 1.5 MB of memory. Each lost server adds
	// all requests that ran there, some dozens, and each may have a new body.
	maxSuspects = 2048
	// evictionDivisor sets the fraction of the suspects, 1/evictionDivisor, that is evicted
	// when there are more than maxSuspects.
	evictionDivisor = 4
	// sweepInterval is the interval of the removal of expired suspects, much shorter than
	// suspectTTL.
	sweepInterval = time.Minute
)

// Ledger records which servers were lost while they processed which requests. The zero value
// is empty; it is safe for concurrent use.
type Ledger struct {
	// OnEvidence is called when there is more evidence to store: a server was lost at the begin of a
	// request's answer, or a request became quarantined. It must not block, may be nil, and is set
	// before the first use.
	OnEvidence func()

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	outbox   outbox[lossKey]
	// lastSweep is when expired suspects were last removed.
	lastSweep time.Time

	// quarantineEnds maps the Fingerprint of each suspect with uncleared losses to the
	// time.Time at which its quarantine ends, zero if it is not quarantined. The request path
	// reads it without a lock.
	quarantineEnds sync.Map

	wake feed.Signal
}

// Quarantined reports whether a request is quarantined, and for how much longer.
func (l *Ledger) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	value, suspected := l.quarantineEnds.Load(f)
	if !suspected {
		return 0, false
	}

	until, _ := value.(time.Time)

	return until.Sub(now), until.After(now)
}

// Suspected reports whether a server was lost while it processed a request, and no complete answer has
// cleared that.
func (l *Ledger) Suspected(f Fingerprint) bool {
	_, suspected := l.quarantineEnds.Load(f)

	return suspected
}

// QuarantinedCount returns the number of quarantined requests.
func (l *Ledger) QuarantinedCount(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0

	for _, s := range l.suspects {
		if s.quarantinedUntil().After(now) {
			n++
		}
	}

	return n
}

// RecordLoss records that a server was lost while it processed a request. The caller has
// verified that the server's process has ended without having announced that it would leave.
func (l *Ledger) RecordLoss(now time.Time, f Fingerprint, s register.Process, e Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.merge(now, Loss{Request: f, Server: keyOf(s), Evidence: e}, observedHere)
}

// RecordAnswer records that a request was answered completely, which clears all its losses.
func (l *Ledger) RecordAnswer(now time.Time, f Fingerprint) {
	if !l.Suspected(f) {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.suspects[f]
	if s == nil {
		return
	}

	for key, e := range s.losses {
		if !e.cleared {
			l.merge(now, Loss{Request: f, Server: key, Cleared: true}, observedHere)
		}
	}
}

// Merge merges losses that another instance sent or stored. With forward set, this instance
// sends new ones on to its own peers.
func (l *Ledger) Merge(now time.Time, losses []Loss, forward bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, loss := range losses {
		l.merge(now, loss, originOf(forward))
	}
}

// origin is how this instance learned of a loss.
type origin int

const (
	// received losses are sent to all other instances by their sender or its relays.
	received origin = iota
	// receivedByRelay losses were received by this instance as a relay, which forwards them.
	receivedByRelay
	// observedHere losses were observed by this instance.
	observedHere
)

// originOf returns the origin of what another instance sent.
func originOf(forward bool) origin {
	if forward {
		return receivedByRelay
	}

	return received
}

// merge merges one loss.
func (l *Ledger) merge(now time.Time, loss Loss, from origin) {
	if l.suspects == nil {
		l.suspects = make(map[Fingerprint]*suspect)
	}

	s := l.suspects[loss.Request]
	if s == nil {
		s = &suspect{}
		l.suspects[loss.Request] = s
	}

	before := s.quarantinedUntil()
	if !s.merge(now.Add(-loss.age()), loss, from == observedHere) {
		return
	}

	if from != received {
		l.outbox.add(lossKey{loss.Request, loss.Server, loss.Cleared})
		l.wake.Send()
	}

	l.publish(loss.Request, s)

	quarantined := before.IsZero() && !s.quarantinedUntil().IsZero()
	if l.OnEvidence != nil && (quarantined || loss.Evidence == Strong && !loss.Cleared) {
		l.OnEvidence()
	}

	l.sweep(now)
}

// publish updates quarantineEnds for a suspect.
func (l *Ledger) publish(f Fingerprint, s *suspect) {
	if all, _ := s.countLosses(); all == 0 {
		l.quarantineEnds.Delete(f)
	} else {
		l.quarantineEnds.Store(f, s.quarantinedUntil())
	}
}

// sweep removes expired suspects, and evicts some if there are too many.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) >= sweepInterval {
		l.lastSweep = now

		for f, s := range l.suspects {
			if now.Sub(s.lastLoss) > suspectTTL {
				l.remove(f)
			}
		}
	}

	if len(l.suspects) > maxSuspects {
		l.evict()
	}
}

func (l *Ledger) remove(f Fingerprint) {
	delete(l.suspects, f)
	l.quarantineEnds.Delete(f)
}

// evict removes suspects with the fewest losses, and among equals those whose newest loss is
// oldest.
func (l *Ledger) evict() {
	order := slices.SortedFunc(maps.Keys(l.suspects), func(a, b Fingerprint) int {
		x, y := l.suspects[a], l.suspects[b]
		lossesX, _ := x.countLosses()
		lossesY, _ := y.countLosses()

		return cmp.Or(cmp.Compare(lossesX, lossesY), x.lastLoss.Compare(y.lastLoss))
	})

	for _, f := range order[:len(order)/evictionDivisor] {
		l.remove(f)
	}
}
