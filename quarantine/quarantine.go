// Package quarantine keeps requests from backend servers that end each server which
// begins them.
//
// Such a request (a poison message) comes again under another id, at any entry instance,
// so that neither ids nor one instance's memory tell it from others. A Ledger counts, by
// Fingerprint, the servers that ended while a request ran there, and exchanges what it
// counts with the ledgers of the other instances. A request under which three servers
// ended as it began, or five at any time of its answer, is held off.
//
// Requests that ran beside it share its time and its servers and are innocent. Nothing
// counts against a request but the end of a server that had not said it would leave, and
// most of all an end at the very begin of the request's answer; and one whole answer to it
// clears it of all that was counted, at all instances.
//
// # Usage
//
//	var l quarantine.Ledger
//	f := quarantine.FingerprintOf(account, method, host, target, body)
//	if left, held := l.Held(now, f); held {
//		return refuse(left)
//	}
//	// Its server ended under it:
//	l.Lost(now, f, start, quarantine.Strong)
//	// Its whole answer came:
//	l.Answered(now, f)
//	// What others should know, and what they say:
//	send(l.News(now))
//	l.Hear(now, losses, relay)
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
	// minStrongLosses is how many servers have to end at a request's begin before it is held
	// off, as operators bear, and anyEnds how many at any time of its answer: one more than
	// a stream beside harmful requests loses, which is resumed and asked for again
	// (TestRequestsBesideAHarmfulOneAreServed).
	minStrongLosses = 3
	minLosses       = 5
	// quarantineDuration is how long after the newest end a request is held off. A caller that repeats
	// it is long gone by then, or has been told so for as long; it may then end one more
	// server before it is held off again.
	quarantineDuration = 10 * time.Minute
	// suspectTTL is how long a request is remembered after the newest end under it.
	suspectTTL = 2 * quarantineDuration
	// maxSuspects bounds the requests that are remembered, to 1.5 MB: with a server go all
	// requests that run there, some dozens, and each body may be new.
	maxSuspects = 2048
	// evictionDivisor is the part of them that goes at once when there are more.
	evictionDivisor = 4
	// sweepInterval is how often old suspects are dropped: far less than they are kept.
	sweepInterval = time.Minute
)

// Ledger remembers what ended under which request. The zero value is empty; it is safe for
// concurrent use.
type Ledger struct {
	// OnQuarantined is told when one more request is held off, and must not wait; it may be nil.
	// It is set before the first use.
	OnQuarantined func()

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	outbox   outbox
	// lastSweep is when old suspects were last dropped.
	lastSweep time.Time

	// quarantineEnds is what the path of requests reads, without a lock: until when each suspect
	// with ends that count is held off, a time.Time by Fingerprint.
	quarantineEnds sync.Map

	wake feed.Signal
}

// Quarantined tells whether a request is held off, and for how much longer.
func (l *Ledger) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	value, suspected := l.quarantineEnds.Load(f)
	if !suspected {
		return 0, false
	}

	until, _ := value.(time.Time)

	return until.Sub(now), until.After(now)
}

// QuarantinedCount returns how many requests are held off.
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

// RecordLoss takes in that a server ended under a request. The caller has made sure that the
// server has ended and had not said that it would.
func (l *Ledger) RecordLoss(now time.Time, f Fingerprint, s register.Process, e Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.merge(now, Loss{Request: f, Server: keyOf(s), Evidence: e}, observedHere)
}

// RecordAnswer takes in that a request was answered as a whole, so that it ends no servers.
func (l *Ledger) RecordAnswer(now time.Time, f Fingerprint) {
	if _, suspected := l.quarantineEnds.Load(f); !suspected {
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

// Merge takes in what another instance tells, or has recorded. What is new is told on if
// this instance passes news on.
func (l *Ledger) Merge(now time.Time, losses []Loss, forward bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	from := received
	if forward {
		from = receivedByRelay
	}

	for _, loss := range losses {
		l.merge(now, loss, from)
	}
}

// origin says how this instance knows of a loss.
type origin int

const (
	// received losses are known to all that have to be told by whoever saw them.
	received origin = iota
	// receivedByRelay ones are told on.
	receivedByRelay
	// observedHere ones were seen by this instance.
	observedHere
)

// merge takes one loss in.
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
		l.outbox.add(loss)
		l.wake.Send()
	}

	l.publish(loss.Request, s)

	if before.IsZero() && !s.quarantinedUntil().IsZero() && l.OnQuarantined != nil {
		l.OnQuarantined()
	}

	l.sweep(now)
}

// publish tells the path of requests of a suspect.
func (l *Ledger) publish(f Fingerprint, s *suspect) {
	if all, _ := s.countLosses(); all == 0 {
		l.quarantineEnds.Delete(f)
	} else {
		l.quarantineEnds.Store(f, s.quarantinedUntil())
	}
}

// sweep drops suspects that are old or too many.
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

// evict drops those with the fewest ends, the oldest of them first.
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
